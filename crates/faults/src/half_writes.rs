//! Which failing writes transfer half of their bytes. Makes no system calls.

use std::sync::atomic::{AtomicBool, Ordering};

/// Number of descriptors that are told apart; higher ones share a flag.
const DESCRIPTORS: usize = 4_096;
/// For each descriptor: whether its last failing write transferred half of its bytes, so that the retry for the rest returns
/// the error.
static HALF_WRITTEN: [AtomicBool; DESCRIPTORS] = [const { AtomicBool::new(false) }; DESCRIPTORS];

/// Whether this failing write transfers half of its bytes. Alternates for each descriptor: its next call, the retry for the
/// rest, fails.
pub(crate) fn toggle_half_write(fd: i32) -> bool {
    let flag = usize::try_from(fd).unwrap_or_default() % DESCRIPTORS;
    !HALF_WRITTEN[flag].fetch_xor(true, Ordering::Relaxed)
}
