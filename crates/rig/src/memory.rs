//! Watches whether dispatchers stay within their memory limit.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The memory limit of a dispatcher in bytes if its configuration has none.
pub(crate) const DEFAULT_LIMIT: u64 = 192_000_000;
/// Interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(100);

/// The ids of a dispatcher's processes so far.
type ProcessIds = Arc<Mutex<Vec<u32>>>;

/// Resident memory of a process in bytes; 0 if it has ended.
fn resident_bytes(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Measures until `done` is set. Describes the dispatchers whose processes together were over the limit.
pub(crate) fn over_limit(dispatchers: &[ProcessIds], limit: u64, done: &AtomicBool) -> Vec<String> {
    let mut most = vec![0; dispatchers.len()];
    while !done.load(Ordering::Relaxed) {
        for (most, ids) in most.iter_mut().zip(dispatchers) {
            let ids = ids.lock().unwrap_or_else(|e| e.into_inner()).clone();
            let held: u64 = ids.into_iter().map(resident_bytes).sum();
            *most = held.max(*most);
        }
        thread::sleep(INTERVAL);
    }
    let over = most.iter().enumerate().filter(|(_, most)| **most > limit);
    over.map(|(n, most)| format!("n{n} held {most} bytes of memory, {limit} are allowed")).collect()
}
