//! The clock: wall-clock milliseconds at the start, and from then on only forward.

use crate::api::Ms;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The variable by which the fault rig makes a process's clock wrong, in milliseconds; not for service.
pub const OFFSET: &str = "LILACBANK_CLOCK_OFFSET_MS";

/// Wall-clock time that never steps back while the process runs.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall: Ms,
    start: Instant,
}

impl Clock {
    /// Starts from the system's time and an offset to it, for machines whose clock is wrong (see [`OFFSET`]).
    pub fn start(offset: Ms) -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0);
        Clock { wall: wall + offset, start: Instant::now() }
    }

    /// Milliseconds since 1970.
    pub fn now(&self) -> Ms {
        self.wall + self.start.elapsed().as_secs_f64() * 1000.0
    }
}
