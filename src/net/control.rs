//! The control interface on its own address: the client sends one line, gets one answer, and the connection
//! ends. `dispatch::door` parses the line, and the core produces the answer.

use super::displacement::{pick_to_close, Candidate, Connections, Use};
use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::control::{ControlAnswer, ControlEffect};
use crate::dispatch::door::{self, Line};
use crate::dispatch::Core;
use mio::net::TcpStream;
use slab::Slab;
use std::collections::BTreeSet;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::rc::Rc;

/// Maximum number of connections; the oldest one is closed to make room for a new one.
const CONNS_MAX: usize = 16;
/// Milliseconds after which a connection is closed, whether its line is incomplete or its answer unread, so
/// that it neither delays others nor holds resources.
const CONNECTION_TIMEOUT: Ms = 2_000.0;
/// Maximum number of bytes that are read: more than a line, so that the answer to one that is too long is not lost in a
/// close over unread input.
const READ_MAX: usize = 16 * 1024;
/// File in the state folder that keeps the operator blocks for the next process and for a sibling process.
pub const BLOCKS_FILE: &str = "down";

#[derive(Debug)]
struct ControlConn {
    stream: Stream,
    connected_at: Ms,
    /// The answer is queued; the connection is closed once it is written.
    answered: bool,
    /// Its number in the order of acceptance.
    serial: u64,
}

/// The connections of the control interface.
#[derive(Debug, Default)]
pub struct ControlInterface {
    conns: Slab<ControlConn>,
    next_serial: u64,
    /// Number of lines that were invalid or never completed.
    pub refused: u64,
    /// Number of lines that were valid commands.
    pub answered: u64,
}

/// Side effects that the network layer executes after a command was answered.
pub type Effects = Vec<ControlEffect>;

/// The connections with what serves the lines that are read from them.
struct Served<'a> {
    interface: &'a mut ControlInterface,
    core: &'a mut Core,
    serving: bool,
    effects: &'a mut Effects,
}

impl Connections for Served<'_> {
    fn candidates(&self) -> impl Iterator<Item = Candidate> {
        self.interface.conns.iter().map(|(index, c)| candidate(index, c))
    }

    fn candidate(&self, index: usize) -> Option<Candidate> {
        self.interface.conns.get(index).map(|c| candidate(index, c))
    }

    fn read(&mut self, now: Ms, index: usize) {
        self.interface.ready(now, index, self.core, self.serving, self.effects);
    }
}

fn candidate(index: usize, c: &ControlConn) -> Candidate {
    // Once the answer is queued, only the client's reading is outstanding.
    let used_for = if c.answered { Use::Idle } else { Use::Unserved };
    let (connected_at, serial) = (c.connected_at, c.serial);
    Candidate { index, used_for, connected_at, last_used: connected_at, serial }
}

impl ControlInterface {
    /// Closes a connection if there is no room for another one.
    pub fn make_room(&mut self, now: Ms, core: &mut Core, serving: bool, effects: &mut Effects) {
        while self.conns.len() >= CONNS_MAX {
            let mut served = Served { interface: self, core, serving, effects };
            let Some(index) = pick_to_close(&mut served, now, CONNS_MAX) else { return };
            if self.conns.try_remove(index).is_some() {
                self.refused += 1;
            }
        }
    }

    /// Registers a new connection.
    pub fn accept(&mut self, now: Ms, tcp: TcpStream, reactor: &Rc<Reactor>) {
        let entry = self.conns.vacant_entry();
        match Stream::accepted(tcp, reactor, token(SourceKind::Control, entry.key())) {
            Ok(stream) => {
                let serial = self.next_serial;
                self.next_serial += 1;
                entry.insert(ControlConn { stream, connected_at: now, answered: false, serial });
            }
            Err(e) => log::warn!(cause:% = e; "a control connection cannot be registered: {e}"),
        }
    }

    /// Handles an event on a connection. `serving`: this process accepts clients.
    pub fn ready(&mut self, now: Ms, index: usize, core: &mut Core, serving: bool, effects: &mut Effects) {
        let Some(c) = self.conns.get_mut(index) else { return };
        if !c.answered {
            let fill = c.stream.fill(READ_MAX);
            let line = match door::read(&c.stream.read_buf) {
                Line::Incomplete if fill == Fill::Ended => door::parse_unterminated(&c.stream.read_buf),
                line => line,
            };
            let answer = match line {
                Line::Incomplete => return,
                Line::Command(command) => {
                    self.answered += 1;
                    core.control(now, &command, serving)
                }
                Line::Invalid(why) => {
                    self.refused += 1;
                    ControlAnswer { text: door::negative_answer(&why), effect: None }
                }
            };
            c.stream.read_buf.clear();
            c.stream.queue(answer.text.as_bytes());
            c.answered = true;
            effects.extend(answer.effect);
        }
        match c.stream.flush() {
            Ok(true) => {
                c.stream.finish();
                self.conns.remove(index);
            }
            Ok(false) => {}
            Err(_) => {
                self.conns.remove(index);
            }
        }
    }

    /// Time at which [`ControlInterface::tick`] is due.
    pub fn next_due(&self) -> Option<Ms> {
        self.conns.iter().map(|(_, c)| c.connected_at + CONNECTION_TIMEOUT).min_by(f64::total_cmp)
    }

    /// Closes connections that have timed out; one without a complete line gets the reason.
    pub fn tick(&mut self, now: Ms) {
        let due: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| now - c.connected_at >= CONNECTION_TIMEOUT)
            .map(|(index, _)| index)
            .collect();
        for index in due {
            if let Some(mut c) = self.conns.try_remove(index) {
                if !c.answered {
                    self.refused += 1;
                    c.stream.queue(door::negative_answer("no whole line came in time").as_bytes());
                    let _ = c.stream.flush();
                }
            }
        }
    }
}

/// Reads the operator blocks from the state folder.
pub fn read_blocks(folder: &Path) -> BTreeSet<String> {
    let text = std::fs::read_to_string(folder.join(BLOCKS_FILE)).unwrap_or_default();
    text.lines().map(str::trim).filter(|l| !l.is_empty()).map(String::from).collect()
}

/// Writes the operator blocks for the next process; the file is replaced atomically.
///
/// # Errors
///
/// The file cannot be written.
pub fn write_blocks(folder: &Path, ids: &BTreeSet<String>) -> io::Result<()> {
    let new_file = folder.join(format!("{BLOCKS_FILE}.new.{}", std::process::id()));
    let text: String = ids.iter().map(|id| format!("{id}\n")).collect();
    std::fs::write(&new_file, text)?;
    std::fs::rename(&new_file, folder.join(BLOCKS_FILE))
}

/// Identifies the version of the file, to detect changes: each write creates a new file with its own inode,
/// while the modification time alone may repeat after a step of the clock.
pub type BlocksVersion = Option<(u64, std::time::SystemTime)>;

/// Current version of the file, see [`BlocksVersion`]; `None` if there is no file.
pub fn blocks_version(folder: &Path) -> BlocksVersion {
    let metadata = std::fs::metadata(folder.join(BLOCKS_FILE)).ok()?;
    Some((metadata.ino(), metadata.modified().ok()?))
}
