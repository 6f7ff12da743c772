//! The process's clock: wall-clock milliseconds at the start, and from then on the time since the machine's boot.

use crate::api::Ms;
use crate::disk::may_pass;
use crate::timeline::Reading;
use rustix::time::{clock_gettime, ClockId};
use std::io;
use std::time::Duration;

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

/// How often the boot's id is read again, while the system lacks a descriptor or memory for it.
const BOOT_TRIES: usize = 100;
/// The time between two such tries.
const BOOT_AGAIN: Duration = Duration::from_millis(50);

/// Which boot of the machine this is; 0 if the system does not tell.
fn boot() -> u64 {
    boot_read_by(|| std::fs::read_to_string(BOOT_ID), || std::thread::sleep(BOOT_AGAIN))
}

/// Guards against a boot that seems to be another one, as its id could not be read for a moment: only the wall clock would be left
/// to tell how long ago the last life was, and that may have been stepped.
fn boot_read_by(mut read: impl FnMut() -> io::Result<String>, mut wait: impl FnMut()) -> u64 {
    for _ in 0..BOOT_TRIES {
        match read() {
            Err(e) if may_pass(&e) => wait(),
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_boots_id_is_read_again_while_descriptors_are_short() {
        const EMFILE: i32 = 24;
        let (mut tries, mut waits) = (0, 0);
        let read = || {
            tries += 1;
            match tries {
                1..=3 => Err(io::Error::from_raw_os_error(EMFILE)),
                _ => Ok("0000000a-0000-0001-ffff-000000000000\n".to_string()),
            }
        };
        assert_eq!(boot_read_by(read, || waits += 1), 0xa_0000_0001);
        assert_eq!((tries, waits), (4, 3));
        let none = || Err(io::ErrorKind::NotFound.into());
        assert_eq!(boot_read_by(none, || panic!("it will not come")), 0);
    }
}
