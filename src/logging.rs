//! The log: one form for people, one for machines, the same fields in both; and complaints that repeat themselves.
//!
//! Fields: `id`, `class`, `member` (the destination), `worker`, `outcome`, `wait_ms`, `cause`, `count`.

use crate::api::Ms;
use log::kv::{Error, Key, Value, VisitSource};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use std::io::{self, IsTerminal, Write};
use std::time::{Duration, Instant};

/// What is logged where nothing says so.
const LEVEL: &str = "info";

/// Starts the log on standard error. `RUST_LOG` wins over the level that is given.
pub fn start(json: bool, level: &str) {
    let level = if level.is_empty() { LEVEL } else { level };
    let mut builder = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level));
    if !io::stderr().is_terminal() {
        builder.target(env_logger::Target::Pipe(Box::new(Unblocked::default())));
    }
    if json {
        builder.format(|out, record| {
            let mut line = serde_json::Map::new();
            let seconds = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            let ms = seconds.map_or(0, |d| d.as_millis() as u64);
            line.insert("time_ms".into(), ms.into());
            line.insert("level".into(), record.level().as_str().to_lowercase().into());
            line.insert("target".into(), record.target().into());
            line.insert("message".into(), record.args().to_string().into());
            let _ = record.key_values().visit(&mut Fields(&mut line));
            writeln!(out, "{}", serde_json::Value::Object(line))
        });
    }
    builder.init();
}

/// A pipe that is ready takes so many bytes at least without waiting (`PIPE_BUF`).
const PART_MOST: usize = 4096;

/// A reader that is a little behind is waited for so long,
const READER_PATIENCE: Duration = Duration::from_millis(20);
/// once in such a span.
const PATIENCE_EVERY: Duration = Duration::from_secs(1);

/// Standard error, of which no write waits for long: the process has one thread, and a log whose reader stops must not stop
/// it. What is not taken is dropped and counted.
#[derive(Debug, Default)]
struct Unblocked {
    /// When the reader was waited for last.
    waited: Option<Instant>,
    /// Records that were dropped since the last one that was written.
    dropped: u64,
    /// The last record was written in part.
    cut: bool,
}

impl Unblocked {
    /// Writes as much as is taken; how much that was.
    fn write_part(&mut self, bytes: &[u8]) -> usize {
        let mut written = 0;
        for part in bytes.chunks(PART_MOST) {
            if !self.takes_more() || io::stderr().write_all(part).is_err() {
                break;
            }
            written += part.len();
        }
        written
    }

    /// Does standard error take more now, or very soon?
    fn takes_more(&mut self) -> bool {
        if is_writable_within(Duration::ZERO) {
            return true;
        }
        if self.waited.is_some_and(|at| at.elapsed() < PATIENCE_EVERY) {
            return false;
        }
        let taken = is_writable_within(READER_PATIENCE);
        self.waited = Some(Instant::now());
        taken
    }

    /// What goes before the next record: the end of one that was cut, and how many are missing.
    fn gap(&self) -> String {
        let end = if self.cut { "\n" } else { "" };
        match self.dropped {
            0 => end.to_string(),
            dropped => format!("{end}{dropped} records of the log were dropped: nobody took them\n"),
        }
    }
}

impl Write for Unblocked {
    /// Takes one record, which is written whole, in part or not at all.
    fn write(&mut self, record: &[u8]) -> io::Result<usize> {
        let gap = self.gap();
        if self.write_part(gap.as_bytes()) < gap.len() {
            self.dropped += 1;
            return Ok(record.len());
        }
        (self.dropped, self.cut) = (0, false);
        match self.write_part(record) {
            0 => self.dropped = 1,
            written => self.cut = written < record.len(),
        }
        Ok(record.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Does standard error take more within this time? One that cannot be asked is taken for one that does.
fn is_writable_within(patience: Duration) -> bool {
    let stderr = io::stderr();
    let mut asked = [PollFd::new(&stderr, PollFlags::OUT)];
    let patience = Timespec { tv_sec: 0, tv_nsec: patience.subsec_nanos().into() };
    loop {
        match poll(&mut asked, Some(&patience)) {
            Err(Errno::INTR) => {}
            Ok(ready) => return ready > 0,
            Err(_) => return true,
        }
    }
}

struct Fields<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(n), ..) => n.into(),
            (_, Some(x), _) => x.into(),
            (.., Some(b)) => b.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// The first gap between two loggings of one complaint; doubled each time,
const GAP_FIRST: Ms = 1_000.0;
/// up to this.
const GAP_MOST: Ms = 600_000.0;

/// Something that goes wrong again and again: logged at once, and then in growing intervals with a count.
#[derive(Debug, Default, Clone, Copy)]
pub struct Complaint {
    /// When it may be logged again, and the gap behind that.
    next: Option<(Ms, Ms)>,
    count: u64,
}

impl Complaint {
    /// It went wrong; returns how many times since it was logged last, if it is to be logged now.
    pub fn raise(&mut self, now: Ms) -> Option<u64> {
        self.count += 1;
        let gap = match self.next {
            Some((at, _)) if now < at => return None,
            Some((_, gap)) => (gap * 2.0).min(GAP_MOST),
            None => GAP_FIRST,
        };
        self.next = Some((now + gap, gap));
        Some(std::mem::take(&mut self.count))
    }

    /// It went well: the next time is news again.
    pub fn settle(&mut self) {
        *self = Complaint::default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a log that is filled by one complaint, and against one that never comes back.
    #[test]
    fn a_complaint_is_logged_in_growing_intervals_with_a_count() {
        let mut c = Complaint::default();
        let logged: Vec<_> =
            (0..400).map(|n| f64::from(n) * 100.0).filter_map(|t| Some((t, c.raise(t)?))).collect();
        assert_eq!(logged[..4], [(0.0, 1), (1_000.0, 10), (3_000.0, 20), (7_000.0, 40)]);
        assert!(logged.len() <= 6, "{logged:?}");
        c.settle();
        assert_eq!(c.raise(40_000.0), Some(1));
    }
}
