//! The process's clock: wall-clock milliseconds at the start, and from then on the time since the machine's boot.

use crate::api::Ms;
use crate::timeline::Reading;
use rustix::time::{clock_gettime, ClockId};

/// The variable by which the fault rig makes a process's clock wrong, in milliseconds; not for service.
pub const OFFSET: &str = "LILACBANK_CLOCK_OFFSET_MS";
/// Where Linux tells which boot of the machine this is.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// Time that no step of the wall clock moves while the process runs.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Reading,
}

fn milliseconds(clock: ClockId) -> Ms {
    let time = clock_gettime(clock);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

/// Which boot of the machine this is; 0 if the system does not tell.
fn boot() -> u64 {
    let id = std::fs::read_to_string(BOOT_ID).unwrap_or_default();
    let digits: String = id.chars().filter(char::is_ascii_hexdigit).take(16).collect();
    u64::from_str_radix(&digits, 16).unwrap_or(0)
}

impl Clock {
    /// Starts from the system's time and an offset to it, for machines whose clock is wrong (see [`OFFSET`]).
    pub fn start(offset: Ms) -> Clock {
        let (since_boot, wall) = (milliseconds(ClockId::Boottime), milliseconds(ClockId::Realtime));
        Clock { start: Reading { boot: boot(), since_boot, wall: wall + offset } }
    }

    /// The reading from which it counts.
    pub fn reading(&self) -> Reading {
        self.start
    }

    /// Milliseconds since 1970, as the wall clock was at the start.
    pub fn now(&self) -> Ms {
        self.start.wall + milliseconds(ClockId::Boottime) - self.start.since_boot
    }
}
