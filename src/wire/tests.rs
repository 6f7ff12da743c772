//! Tests of the module `wire`.

use super::*;

/// A reported limit of 0 has a meaning (no limit but the capacity) and must not be taken for an absent
/// one.
#[test]
fn report_contains_exactly_the_known_fields_that_are_present() {
    let read = |text| parse_report(Some(text)).map(|r| (r.remaining_share, r.limit));
    assert_eq!(read("x0:0,x1:0"), Ok((Some(0.0), Some(0.0))));
    assert_eq!(read("x1:5.5,later:7,x0:0.25"), Ok((Some(0.25), Some(5.5))));
    assert_eq!(read("x0:0.5"), Ok((Some(0.5), None)));
    assert_eq!(read("later:1"), Ok((None, None)));
    assert_eq!(parse_report(None), Ok(LimitReport::default()));
    assert!(read("x0").is_err() && read("x1:many").is_err());
}
