//! Half writes of the fault library. Its functions take the names of the C library's, so no test harness is linked with them;
//! this module of it has none.

#[path = "../../faults/src/half_writes.rs"]
mod half_writes;

/// Guards against a descriptor whose first failing write returns the error, or whose retry transfers bytes, because another
/// descriptor had a half write in between.
#[test]
fn half_writes_alternate_for_each_descriptor() {
    let got: Vec<bool> = [5, 6, 5, 6, 5].into_iter().map(half_writes::toggle_half_write).collect();
    assert_eq!(got, [true, true, false, false, true]);
}
