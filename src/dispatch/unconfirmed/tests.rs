//! Tests of the module `unconfirmed`.

use super::*;

#[test]
fn a_message_is_unconfirmed_until_its_connection_reports_or_the_time_has_passed() {
    let mut all = UnconfirmedAttempts::default();
    all.insert(5, 0, UnconfirmedAttempt::new(3, Some(9), String::new()));
    all.inherit(6, Some(8), 40.0, 10.0);
    assert!(
        all.has_unconfirmed(5, 1e9)
            && all.has_unconfirmed(6, 39.0)
            && !all.has_unconfirmed(6, 40.0)
            && !all.has_unconfirmed(7, 0.0)
    );
    assert_eq!(all.next_due(), Some(50.0));
    assert!(all.end_message(5) && all.end_message(6) && !all.end_message(7));
    assert_eq!(
        all.remove_finished(50.0),
        [ReleasedKey { no: 6, key: Some(8) }],
        "the connection has not reported on the other"
    );
    assert_eq!(all.confirm(60.0, 5, 0, 10.0).map(|u| (u.route, u.key)), Some((3, Some(9))));
    assert!(all.confirm(60.0, 5, 1, 10.0).is_none());
    assert!(!all.has_unconfirmed(5, 60.0), "its endpoint knows; its key is in its quiet period");
    all.confirm(65.0, 5, 0, 10.0);
    assert_eq!((all.next_due(), all.remove_finished(69.0)), (Some(70.0), vec![]), "the first report counts");
    assert_eq!(all.remove_finished(70.0), [ReleasedKey { no: 5, key: Some(9) }]);
    assert!(all.next_due().is_none());
}

#[test]
fn a_key_is_released_once_all_attempts_of_its_message_are_confirmed() {
    let mut all = UnconfirmedAttempts::default();
    let attempt = || UnconfirmedAttempt::new(3, Some(9), String::new());
    all.insert(5, 0, attempt());
    all.insert(5, 1, attempt());
    all.end_message(5);
    all.confirm(10.0, 5, 0, 0.0);
    assert_eq!(all.remove_finished(10.0), []);
    all.confirm(20.0, 5, 1, 0.0);
    assert_eq!(all.remove_finished(20.0), [ReleasedKey { no: 5, key: Some(9) }]);
}
