//! Tests of the module `beside`.

use super::*;

#[test]
fn a_lone_process_accepts_everything_and_releases_nothing() {
    let mut b = SiblingProcess::default();
    assert!(!b.observe_folder(0.0, false));
    assert_eq!(b.admission(5.0), KeyedAdmission::Accept);
    assert!(!b.observe_folder(100.0, false));
}

/// Guards against a message of the second process overtaking one of its key that the first accepted just
/// before it saw the second.
#[test]
fn the_second_process_returns_until_it_must_be_seen_then_withholds_until_the_first_has_ended() {
    let mut b = SiblingProcess::default();
    assert!(!b.observe_folder(1_000.0, true));
    assert_eq!(b.admission(1_000.0 + DETECTION_DELAY - 1.0), KeyedAdmission::Return(RETURN_RETRY_AFTER));
    assert!(!b.observe_folder(1_100.0, true));
    assert_eq!(b.admission(1_000.0 + DETECTION_DELAY), KeyedAdmission::Withhold);
    assert!(b.observe_folder(4_000.0, false), "withheld messages go now");
    assert_eq!(b.admission(4_001.0), KeyedAdmission::Accept);
}

/// Guards against the first process accepting a message after the second accepted one of the same key:
/// the second's would go first.
#[test]
fn the_first_process_returns_from_the_moment_it_sees_the_second() {
    let mut b = SiblingProcess::default();
    b.observe_folder(0.0, false);
    assert_eq!(b.admission(50.0), KeyedAdmission::Accept);
    b.observe_folder(100.0, true);
    assert!(b.is_present());
    assert_eq!(b.admission(60_000.0), KeyedAdmission::Return(RETURN_RETRY_AFTER));
    assert!(b.observe_folder(60_100.0, false));
    assert_eq!(b.admission(60_101.0), KeyedAdmission::Accept);
}
