//! The log: one form for people, one for machines, the same fields in both; and complaints that repeat themselves.
//!
//! Fields: `id`, `class`, `member` (the destination), `worker`, `outcome`, `wait_ms`, `cause`, `count`.

use crate::api::Ms;
use log::kv::{Error, Key, Value, VisitSource};
use std::io::Write;

/// What is logged where nothing says so.
const LEVEL: &str = "info";

/// Starts the log on standard error. `RUST_LOG` wins over the level that is given.
pub fn start(json: bool, level: &str) {
    let level = if level.is_empty() { LEVEL } else { level };
    let mut builder = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level));
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
