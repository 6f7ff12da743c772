//! The operators' door on its own address: one line in, one answer out, then the connection ends. A thin front: the
//! reading of a line is `dispatch::door`'s, the answer the core's.

use super::reactor::Reactor;
use super::stream::{Fill, Stream};
use super::{token, SourceKind};
use crate::api::Ms;
use crate::dispatch::control::{Answer, Effect};
use crate::dispatch::door::{self, Line};
use crate::dispatch::Core;
use mio::net::TcpStream;
use slab::Slab;
use std::collections::BTreeSet;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::rc::Rc;

/// Callers at once; the one that has waited longest goes to make room for one more.
const CONNS_MAX: usize = 16;
/// A caller that has not said its line by then is closed: others are not held up by it, and nothing is held for it.
const LINE_PATIENCE: Ms = 2_000.0;
/// An answer that is not read by then is given up.
const WRITE_PATIENCE: Ms = 2_000.0;
/// The file of the folder where the endpoints out by hand are kept, for the next process and the one beside.
pub const BLOCKS_FILE: &str = "down";

#[derive(Debug)]
struct ControlConn {
    stream: Stream,
    since: Ms,
    /// The answer is queued; the connection ends once it is written.
    answered: bool,
}

/// The callers of the door.
#[derive(Debug, Default)]
pub struct ControlInterface {
    conns: Slab<ControlConn>,
    /// Lines that were nonsense, or never came.
    pub refused: u64,
    /// Lines answered.
    pub answered: u64,
}

/// What the wires are to do after a caller was answered.
pub type Effects = Vec<Effect>;

impl ControlInterface {
    /// A caller has connected.
    pub fn accept(&mut self, now: Ms, tcp: TcpStream, reactor: &Rc<Reactor>) {
        if self.conns.len() >= CONNS_MAX {
            let oldest = self.conns.iter().min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|c| c.0);
            if let Some(at) = oldest {
                self.conns.remove(at);
                self.refused += 1;
            }
        }
        let entry = self.conns.vacant_entry();
        match Stream::accepted(tcp, reactor, token(SourceKind::Control, entry.key())) {
            Ok(stream) => {
                entry.insert(ControlConn { stream, since: now, answered: false });
            }
            Err(e) => log::warn!(cause:% = e; "a caller of the door cannot be served: {e}"),
        }
    }

    /// Something happened on a caller's connection. `serving`: this process takes clients.
    pub fn ready(&mut self, now: Ms, at: usize, core: &mut Core, serving: bool, effects: &mut Effects) {
        let Some(c) = self.conns.get_mut(at) else { return };
        if !c.answered {
            let fill = c.stream.fill(door::LINE_MOST);
            let line = match door::read(&c.stream.read_buf) {
                Line::More if fill == Fill::Ended => door::cut_short(&c.stream.read_buf),
                line => line,
            };
            let answer = match line {
                Line::More => return,
                Line::Asked(command) => {
                    self.answered += 1;
                    core.control(now, &command, serving)
                }
                Line::Bad(why) => {
                    self.refused += 1;
                    Answer { text: door::no(&why), effect: None }
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
                self.conns.remove(at);
            }
            Ok(false) => {}
            Err(_) => {
                self.conns.remove(at);
            }
        }
    }

    /// When [`ControlInterface::tick`] has something to do.
    pub fn next_due(&self) -> Option<Ms> {
        self.conns.iter().map(|(_, c)| c.since + LINE_PATIENCE.max(WRITE_PATIENCE)).min_by(f64::total_cmp)
    }

    /// Closes callers whose time is up; one that never said a whole line is told why.
    pub fn tick(&mut self, now: Ms) {
        let due: Vec<usize> =
            self.conns.iter().filter(|(_, c)| now - c.since >= LINE_PATIENCE).map(|(at, _)| at).collect();
        for at in due {
            if let Some(mut c) = self.conns.try_remove(at) {
                if !c.answered {
                    self.refused += 1;
                    c.stream.queue(door::no("no whole line came in time").as_bytes());
                    let _ = c.stream.flush();
                }
            }
        }
    }
}

/// The endpoints out by hand that the folder keeps.
pub fn read_blocks(folder: &Path) -> BTreeSet<String> {
    let text = std::fs::read_to_string(folder.join(BLOCKS_FILE)).unwrap_or_default();
    text.lines().map(str::trim).filter(|l| !l.is_empty()).map(String::from).collect()
}

/// Keeps them for the next process, whole or not at all.
///
/// # Errors
///
/// The file cannot be written.
pub fn write_blocks(folder: &Path, ids: &BTreeSet<String>) -> io::Result<()> {
    let fresh = folder.join(format!("{BLOCKS_FILE}.new.{}", std::process::id()));
    let text: String = ids.iter().map(|id| format!("{id}\n")).collect();
    std::fs::write(&fresh, text)?;
    std::fs::rename(&fresh, folder.join(BLOCKS_FILE))
}

/// Which writing of the file is there, to tell whether it is to be read again: each one is a file of its own, and the time
/// alone may be the same after a step of the clock.
pub type BlocksVersion = Option<(u64, std::time::SystemTime)>;

/// See [`BlocksVersion`]; none where there is no file.
pub fn blocks_version(folder: &Path) -> BlocksVersion {
    let about = std::fs::metadata(folder.join(BLOCKS_FILE)).ok()?;
    Some((about.ino(), about.modified().ok()?))
}
