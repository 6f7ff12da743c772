//! Tests of the module `attempts`.

use super::*;
use std::time::Duration;

/// Guards against a check that misses a pair because its overlap is short or because of the order in the log.
#[test]
fn every_pair_that_was_open_at_once_is_found() {
    let start = Instant::now();
    let at = |us: u64| start + Duration::from_micros(us);
    let attempt = |id: &str, from: u64, to: Option<u64>| Attempt {
        id: id.into(),
        began_at: at(from),
        ended: to.map(|to| (at(to), EndedBy::Caller)),
        altered: None,
    };
    let count = |all: &[Attempt]| overlapping(all, |id| Some(id.to_string())).len();
    let first = attempt("a", 0, Some(1_000));
    assert_eq!(count(&[first.clone(), attempt("a", 1_000, Some(2_000))]), 0, "one after the other");
    assert_eq!(count(&[first.clone(), attempt("a", 999, Some(2_000))]), 1, "by a microsecond");
    assert_eq!(count(&[attempt("a", 1_001, Some(1_002)), first.clone()]), 0, "in any order of the log");
    // Given up by the dispatcher, and reached its endpoint after the attempt that followed it.
    assert_eq!(count(&[attempt("a", 10, Some(11)), first.clone()]), 1);
    assert_eq!(count(&[attempt("a", 0, None), attempt("a", 9_000, Some(9_001))]), 1, "never ended");
    let three = [attempt("a", 0, Some(9)), attempt("a", 1, Some(2)), attempt("a", 5, Some(6))];
    assert_eq!(count(&three), 2, "compared with the attempt that ends last, not with the previous one");
    assert_eq!(count(&[first.clone(), attempt("b", 10, Some(20))]), 0, "another message");
    let key = |_: &str| Some("key".to_string());
    assert_eq!(overlapping(&[first.clone(), attempt("b", 10, Some(20))], key).len(), 1, "of one key");
    assert_eq!(overlapping(&[first.clone(), first], |_| None).len(), 0, "ignored without a group");
}
