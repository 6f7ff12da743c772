//! Tests of the module `measure`.

use super::*;

/// Guards against a time to full service that counts a single bucket within tolerance, or one before the restart.
#[test]
fn full_service_needs_five_consecutive_seconds_after_the_start() {
    let mut share = vec![1.0; 40];
    share[10..14].iter_mut().for_each(|s| *s = 0.2);
    share[16] = 0.5;
    // The start is at 5,000 ms. Buckets 10 to 13 and 16 are below tolerance; ten buckets within it begin at 17.
    assert_eq!(full_service(&share, 0.99, 5_000), Some(17 * BUCKET_MS - 5_000));
    assert_eq!(full_service(&share[..25], 0.99, 5_000), None, "less than five seconds are left");
}

/// Guards against a peak that uses a fixed grid of seconds, or counts calls from before the span.
#[test]
fn the_busiest_second_is_found_wherever_it_begins() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let second = Duration::from_secs(1);
    let calls: Vec<Instant> = [100, 200, 300, 400, 1_900, 2_000, 2_800].into_iter().map(at).collect();
    assert_eq!(busiest(&calls, at(0), at(10_000), second), 4);
    assert_eq!(busiest(&calls, at(1_000), at(10_000), second), 3, "1.9 s to 2.8 s");
    assert_eq!(busiest(&calls, at(350), at(1_000), second), 1);
    assert_eq!(count_by_bucket(start, 3_000, &calls), [4, 0, 0, 1, 1, 1]);
}
