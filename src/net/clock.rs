//! The process clock: wall-clock milliseconds at the start, plus the time that the boot-time clock has
//! advanced since.

use crate::api::Ms;
use crate::disk::is_transient;
use crate::timeline::ClockReading;
use rustix::time::{clock_gettime, ClockId};
use std::io;
use std::time::Duration;

/// Environment variable with which the fault rig shifts a process's clock, in milliseconds; not for
/// production.
pub const OFFSET_VAR: &str = "LILACBANK_CLOCK_OFFSET_MS";
/// File with the id of the machine's current boot on Linux.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// A clock that steps of the wall clock do not affect while the process runs.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: ClockReading,
}

fn milliseconds(clock: ClockId) -> Ms {
    let time = clock_gettime(clock);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

/// Maximum number of reads of the boot id while the system lacks a descriptor or memory for it.
const BOOT_ID_READS_MAX: usize = 100;
/// Pause between two such reads.
const BOOT_ID_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Number that identifies the machine's current boot; 0 if it is unknown.
fn current_boot() -> u64 {
    read_boot_id(|| std::fs::read_to_string(BOOT_ID_FILE), || std::thread::sleep(BOOT_ID_RETRY_INTERVAL))
}

/// Reads the boot id, with retries. If a temporary read error made this look like another boot, only the wall
/// clock, which may have been stepped, could show how long ago the previous incarnation was.
fn read_boot_id(mut read: impl FnMut() -> io::Result<String>, mut wait: impl FnMut()) -> u64 {
    for _ in 0..BOOT_ID_READS_MAX {
        match read() {
            Err(e) if is_transient(&e) => wait(),
            id => return id.map_or(0, |id| boot_number(&id)),
        }
    }
    0
}

fn boot_number(id: &str) -> u64 {
    let digits: String = id.chars().filter(char::is_ascii_hexdigit).take(16).collect();
    u64::from_str_radix(&digits, 16).unwrap_or(0)
}

impl Clock {
    /// Starts from the system time plus an offset, for machines whose clock is wrong (see [`OFFSET_VAR`]).
    pub fn start(offset: Ms) -> Clock {
        let (since_boot, wall) = (milliseconds(ClockId::Boottime), milliseconds(ClockId::Realtime));
        Clock { start: ClockReading { boot: current_boot(), since_boot, wall: wall + offset } }
    }

    /// The clock reading at the start.
    pub fn reading(&self) -> ClockReading {
        self.start
    }

    /// Milliseconds since 1970, based on the wall clock at the start.
    pub fn now(&self) -> Ms {
        self.start.wall + milliseconds(ClockId::Boottime) - self.start.since_boot
    }
}

#[cfg(test)]
mod tests;
