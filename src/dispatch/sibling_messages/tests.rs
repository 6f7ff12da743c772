//! Tests of the module `sibling_messages`.

use super::*;

const NOW: Ms = 1_000.0;

fn names() -> AtMostOnce {
    AtMostOnce::new([("pay".to_string(), 5_000.0)])
}

fn accepted(no: MessageNo, id: &str, key: &str) -> Record {
    Record::Accepted(AcceptedMessage {
        no,
        identity: (String::new(), id.into()),
        class: "pay".into(),
        tenant: "acme".into(),
        idempotency_key: key.into(),
        ..AcceptedMessage::default()
    })
}

fn known_after(records: &[Record]) -> SiblingMessages {
    let mut messages = SiblingMessages::default();
    messages.add(NOW, records, &names());
    messages
}

fn identity(messages: &SiblingMessages, now: Ms, id: &str) -> Option<SiblingIdentity> {
    messages.identity(now, &(String::new(), id.to_string()))
}

/// Guards against a held message of the other process that is unknown by its id or its idempotency key.
#[test]
fn a_held_message_is_known_by_its_identity_and_its_key() {
    let messages = known_after(&[accepted(7, "a", "key")]);
    let known = identity(&messages, NOW, "a").unwrap();
    assert_eq!((known.no, known.ending, known.settled_until), (7, None, None));
    assert_eq!(messages.check("pay\nkkey"), RepeatCheck::Held(7));
    assert_eq!(identity(&messages, NOW, "b"), None);
}

/// Guards against an identity that stays known after the other process has forgotten it, and against one that is
/// forgotten early.
#[test]
fn an_ended_message_is_known_for_as_long_as_the_other_process_remembers_it() {
    let ending = Ending::Delivered;
    let remembered = Record::AtMostOnceEnded {
        name: "pay\nkkey".into(),
        ending,
        until: NOW + 50.0,
        tenant: String::new(),
    };
    let records = [
        accepted(7, "a", "key"),
        Record::FinalAnswer { no: 7, ending },
        remembered,
        Record::Settled { no: 7, until: NOW + 20.0 },
    ];
    let mut messages = known_after(&records);
    let known = identity(&messages, NOW + 19.0, "a").unwrap();
    assert_eq!((known.ending, known.settled_until), (Some(ending), Some(NOW + 20.0)));
    assert_eq!(identity(&messages, NOW + 20.0, "a"), None);
    messages.expire(NOW + 49.0);
    assert_eq!(messages.check("pay\nkkey"), RepeatCheck::Ended(ending));
    messages.expire(NOW + 50.0);
    assert_eq!(messages.check("pay\nkkey"), RepeatCheck::New);
}

/// Guards against a message that neither process accepts, because the other one has withdrawn it.
#[test]
fn a_withdrawn_message_is_unknown() {
    let returned = Record::FinalAnswer { no: 7, ending: Ending::Returned(500.0) };
    let messages = known_after(&[accepted(7, "a", "key"), returned, Record::Settled { no: 7, until: NOW }]);
    assert_eq!(identity(&messages, NOW, "a"), None);
    assert_eq!(messages.check("pay\nkkey"), RepeatCheck::New);
}
