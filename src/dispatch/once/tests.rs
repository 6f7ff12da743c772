//! Tests of the module `once`.

use super::*;

/// Guards against a second effect by another way in, and against rejecting a message that never ran.
#[test]
fn a_message_is_known_by_key_or_id_until_its_time_has_passed() {
    let mut once = AtMostOnce::new([("pay".to_string(), 1_000.0)]);
    assert_eq!(once.entry_name("status", "k", "a"), None);
    let keyed = once.entry_name("pay", "k", "a").unwrap();
    assert_eq!(once.entry_name("pay", "k", "b"), Some(keyed.clone()), "the key counts, not the id");
    assert_ne!(once.entry_name("pay", "", "k"), Some(keyed.clone()), "an id is not a key");
    once.hold(keyed.clone(), 7);
    assert_eq!(once.check(&keyed), RepeatCheck::Held(7));
    assert_eq!(once.end(0.0, "pay", &keyed, Ending::Returned(5.0), String::new()), None);
    assert_eq!((once.check(&keyed), once.bytes()), (RepeatCheck::New, 0));
    once.hold(keyed.clone(), 8);
    assert_eq!(once.end(10.0, "pay", &keyed, Ending::GivenUp, String::new()), Some(1_010.0));
    once.expire(1_009.0);
    assert_eq!(once.check(&keyed), RepeatCheck::Ended(Ending::GivenUp));
    once.expire(1_010.0);
    assert_eq!((once.check(&keyed), once.bytes(), once.expiry.len()), (RepeatCheck::New, 0, 0));
}
