//! The clock: wall-clock milliseconds at the start, and from then on only forward.

use crate::api::Ms;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Wall-clock time that never steps back while the process runs.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall: Ms,
    start: Instant,
}

impl Clock {
    /// Starts from the system's time.
    pub fn start() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0);
        Clock { wall, start: Instant::now() }
    }

    /// Milliseconds since 1970.
    pub fn now(&self) -> Ms {
        self.wall + self.start.elapsed().as_secs_f64() * 1000.0
    }
}
