//! Checks during a run that the dispatchers' state folders stay within the size limit of their configuration.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Time between two measurements. It is short because the two files of a compaction exist together only for a few
/// milliseconds.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The size of a file is rounded up to whole blocks of this many bytes.
const BLOCK_BYTES: u64 = 512;

/// Bytes of the files in the folder, in whole blocks.
fn size(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let sizes = files.filter_map(|f| f.metadata().ok()).filter(|m| m.is_file()).map(|m| m.len());
    sizes.map(|bytes| bytes.div_ceil(BLOCK_BYTES) * BLOCK_BYTES).sum()
}

/// Measures the folders until `stop` is set; describes those that exceeded the limit at any time, with the largest size
/// measured.
pub(crate) fn over_limit(folders: &[PathBuf], limit: u64, stop: &AtomicBool) -> Vec<String> {
    let mut peaks = vec![0; folders.len()];
    while !stop.load(Ordering::Relaxed) {
        for (peak, folder) in peaks.iter_mut().zip(folders) {
            *peak = size(folder).max(*peak);
        }
        thread::sleep(POLL_INTERVAL);
    }
    let over = peaks.iter().enumerate().filter(|(_, peak)| **peak > limit);
    over.map(|(n, peak)| format!("n{n}: {peak} bytes of {limit}")).collect()
}

#[cfg(test)]
mod tests;
