//! The log, as text or as JSON with the same fields, and rate limiting of repeated log records.
//!
//! Fields: `id`, `class`, `member` (the destination), `worker`, `outcome`, `wait_ms`, `cause`, `count`.

use crate::api::Ms;
use log::kv::{Error, Key, Value, VisitSource};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use std::io::{self, IsTerminal, Write};
use std::time::{Duration, Instant};

/// Level used if neither the configuration nor the environment gives one.
const DEFAULT_LEVEL: &str = "info";

/// Starts the log on standard error. `RUST_LOG` takes precedence over `level`.
pub fn init(json: bool, level: &str) {
    let level = if level.is_empty() { DEFAULT_LEVEL } else { level };
    let mut builder = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level));
    if !io::stderr().is_terminal() {
        builder.target(env_logger::Target::Pipe(Box::new(NonBlockingStderr::default())));
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

/// Number of bytes that a writable pipe accepts without blocking (`PIPE_BUF`).
const MAX_CHUNK_BYTES: usize = 4096;

/// How long a write waits for a slow reader, at most once per `READER_WAIT_INTERVAL`.
const MAX_READER_WAIT: Duration = Duration::from_millis(20);
/// Minimum time between two waits for a slow reader.
const READER_WAIT_INTERVAL: Duration = Duration::from_secs(1);

/// Standard error with writes that do not block for long: the process has a single thread, which must not
/// stop when the reader of its log does. Records that cannot be written are dropped and counted.
#[derive(Debug, Default)]
struct NonBlockingStderr {
    /// When a write last waited for the reader.
    last_wait: Option<Instant>,
    /// Number of records dropped since the last one that was written.
    dropped: u64,
    /// The last record was written only in part.
    truncated: bool,
}

impl NonBlockingStderr {
    /// Writes as much as can be written without blocking for long; returns the number of bytes written.
    fn write_available(&mut self, bytes: &[u8]) -> usize {
        let mut written = 0;
        for chunk in bytes.chunks(MAX_CHUNK_BYTES) {
            if !self.wait_writable() || io::stderr().write_all(chunk).is_err() {
                break;
            }
            written += chunk.len();
        }
        written
    }

    /// Whether standard error is writable now, or becomes writable within the limited wait for a slow reader.
    fn wait_writable(&mut self) -> bool {
        if is_writable_within(Duration::ZERO) {
            return true;
        }
        if self.last_wait.is_some_and(|at| at.elapsed() < READER_WAIT_INTERVAL) {
            return false;
        }
        let writable = is_writable_within(MAX_READER_WAIT);
        self.last_wait = Some(Instant::now());
        writable
    }

    /// Text to write before the next record: a line end after a truncated record, and the number of dropped
    /// records.
    fn gap(&self) -> String {
        let end = if self.truncated { "\n" } else { "" };
        match self.dropped {
            0 => end.to_string(),
            dropped => format!("{end}{dropped} records of the log were dropped: nobody took them\n"),
        }
    }
}

impl Write for NonBlockingStderr {
    /// Writes one record completely, partially or not at all; always reports it as written.
    fn write(&mut self, record: &[u8]) -> io::Result<usize> {
        let gap = self.gap();
        if self.write_available(gap.as_bytes()) < gap.len() {
            self.dropped += 1;
            return Ok(record.len());
        }
        (self.dropped, self.truncated) = (0, false);
        match self.write_available(record) {
            0 => self.dropped = 1,
            written => self.truncated = written < record.len(),
        }
        Ok(record.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether standard error becomes writable within `timeout`, which must be less than a second. If it cannot
/// be polled, it counts as writable.
fn is_writable_within(timeout: Duration) -> bool {
    let stderr = io::stderr();
    let mut polled = [PollFd::new(&stderr, PollFlags::OUT)];
    let timeout = Timespec { tv_sec: 0, tv_nsec: timeout.subsec_nanos().into() };
    loop {
        match poll(&mut polled, Some(&timeout)) {
            Err(Errno::INTR) => {}
            Ok(ready) => return ready > 0,
            Err(_) => return true,
        }
    }
}

/// Copies the fields of a log record into a JSON object.
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

/// Interval in milliseconds between the first two log records of a repeated failure; it doubles with each
/// record.
const MIN_INTERVAL_MS: Ms = 1_000.0;
/// Longest interval in milliseconds between two log records of a repeated failure.
const MAX_INTERVAL_MS: Ms = 600_000.0;

/// Limits the log records of a repeated failure: the first one is logged at once, later ones at growing
/// intervals with a count.
#[derive(Debug, Default, Clone, Copy)]
pub struct LogThrottle {
    /// When the failure may be logged again, and the interval that ends at that time.
    next: Option<(Ms, Ms)>,
    count: u64,
}

impl LogThrottle {
    /// Counts a failure. If it is to be logged now, returns the number of failures since the last log record.
    pub fn record(&mut self, now: Ms) -> Option<u64> {
        self.count += 1;
        let interval = match self.next {
            Some((at, _)) if now < at => return None,
            Some((_, interval)) => (interval * 2.0).min(MAX_INTERVAL_MS),
            None => MIN_INTERVAL_MS,
        };
        self.next = Some((now + interval, interval));
        Some(std::mem::take(&mut self.count))
    }

    /// Resets after a success: the next failure is logged at once.
    pub fn reset(&mut self) {
        *self = LogThrottle::default();
    }
}

#[cfg(test)]
mod tests;
