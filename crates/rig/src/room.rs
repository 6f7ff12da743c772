//! How much the dispatchers' folders hold while a play is on, against the limit of their configuration.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Between two looks: a compaction's two files stand beside each other for a few milliseconds.
const EACH: Duration = Duration::from_millis(5);
/// Each file counts in whole blocks.
const BLOCK: u64 = 512;

/// Bytes of the folder's files.
fn size(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let sizes = files.filter_map(|f| f.metadata().ok()).filter(|m| m.is_file()).map(|m| m.len());
    sizes.map(|bytes| bytes.div_ceil(BLOCK) * BLOCK).sum()
}

/// Looks at the folders until told to stop; those that held more than the limit at some moment, with the most that was seen.
pub(crate) fn over_limit(folders: &[PathBuf], limit: u64, stop: &AtomicBool) -> Vec<String> {
    let mut most = vec![0; folders.len()];
    while !stop.load(Ordering::Relaxed) {
        for (most, folder) in most.iter_mut().zip(folders) {
            *most = size(folder).max(*most);
        }
        thread::sleep(EACH);
    }
    let over = most.iter().enumerate().filter(|(_, most)| **most > limit);
    over.map(|(n, most)| format!("n{n}: {most} bytes of {limit}")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_folder_over_its_limit_for_a_moment_is_seen() {
        let folder = std::env::temp_dir().join(format!("lilacbank-room-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (stop, folders) = (AtomicBool::new(false), [folder.clone()]);
        let over = thread::scope(|scope| {
            let looking = scope.spawn(|| over_limit(&folders, 1_000, &stop));
            std::fs::write(folder.join("journal"), [0; 600]).unwrap();
            thread::sleep(Duration::from_millis(100));
            std::fs::remove_file(folder.join("journal")).unwrap();
            stop.store(true, Ordering::Relaxed);
            looking.join().unwrap()
        });
        std::fs::remove_dir_all(folder).unwrap();
        assert_eq!(over, ["n0: 1024 bytes of 1000"]);
    }
}
