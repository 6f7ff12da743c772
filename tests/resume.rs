//! How the decision module handles messages of an earlier process, and which attempts it starts shortly
//! before its own process ends.

mod common;
use common::*;
use lilacbank::api::*;
use lilacbank::DecisionModule;

/// A module that has received two endpoints of destination 1, in zones 0 and 1, and these events in one
/// batch; and its actions.
fn brain(more: Vec<Event>) -> (DecisionModule, Vec<Action>) {
    let mut brain = DecisionModule::new(Settings { answers_confirmed: true, ..settings() });
    let rows = vec![endpoint_row(0, 1, 0, 0), endpoint_row(1, 1, 1, 0)];
    let mut events = vec![Event::EndpointList { rows, complete: true, cached: true }];
    events.extend(more);
    let mut out = Vec::new();
    brain.step(1_000.0, &events, &mut out);
    (brain, out)
}

fn message(id: MessageId, class: usize, key: Option<u64>) -> Message {
    Message { id, class, key, valid_until: 9_000.0, dest: 1, resubmitted: true, ..Message::default() }
}

fn sends(actions: &[Action]) -> Vec<(MessageId, EndpointId)> {
    actions
        .iter()
        .filter_map(
            |a| if let Action::Send { id, endpoint: route, .. } = a { Some((*id, *route)) } else { None },
        )
        .collect()
}

fn resumed(message: Message, ran: Option<(Ms, usize)>) -> Event {
    Event::MessageResumed(ResumedMessage { message, attempts: 1, first_possible_run: ran, ended: false })
}

/// Guards against a resumed message being repeated where its class forbids it. Messages: 1 idempotent, 2
/// deduplicated within a zone, 3 at-most-once; all three may have run. 4 is at-most-once and never ran.
#[test]
fn a_resumed_message_is_repeated_only_as_its_class_permits() {
    let ran = Some((900.0, 1));
    let all = vec![
        resumed(message(1, 0, None), ran),
        resumed(message(2, 1, None), ran),
        resumed(message(3, 2, None), ran),
        resumed(message(4, 2, None), None),
    ];
    let (_, out) = brain(all);
    let sent = sends(&out);
    assert!(sent.iter().any(|s| s.0 == 1) && sent.iter().any(|s| s.0 == 4), "{sent:?}");
    assert!(sent.contains(&(2, 1)), "the deduplicated message is repeated in its own zone: {sent:?}");
    assert!(out.contains(&Action::GiveUp(3)) && sent.iter().all(|s| s.0 != 3));
}

/// Guards against a repeat of a deduplicated message after its window, when endpoints no longer drop repeats.
#[test]
fn a_deduplicated_message_is_given_up_after_its_window() {
    let (_, out) = brain(vec![resumed(message(1, 1, None), Some((-4_000.0, 0)))]);
    assert_eq!((sends(&out), out.contains(&Action::GiveUp(1))), (vec![], true));
}

/// Guards against a later message of a key being sent before the client has received the final answer of the
/// earlier one.
#[test]
fn a_key_waits_until_the_client_has_the_final_answer_of_the_earlier_message() {
    let ended = Event::MessageResumed(ResumedMessage {
        message: message(1, 3, Some(7)),
        ended: true,
        ..ResumedMessage::default()
    });
    let (mut brain, out) = brain(vec![ended, Event::MessageArrived(message(2, 3, Some(7)))]);
    assert_eq!(sends(&out), []);
    let mut out = Vec::new();
    brain.step(1_050.0, &[Event::AnswerConfirmed(1)], &mut out);
    assert_eq!(sends(&out).iter().map(|s| s.0).collect::<Vec<_>>(), [2]);
}

/// Guards against two messages of a key running at once after a restart: an attempt of the earlier process
/// may still run, although this process holds nothing of it.
#[test]
fn every_key_has_a_quiet_period_after_a_restart() {
    let quiet = settings().key_quiet_period;
    let (mut brain, out) =
        brain(vec![Event::ProcessRestarted, Event::MessageArrived(message(2, 3, Some(7)))]);
    assert_eq!(sends(&out), []);
    let sent_at = |brain: &mut DecisionModule, now: Ms| {
        let mut out = Vec::new();
        brain.step(now, &[Event::MessageArrived(message(now as MessageId, 0, None))], &mut out);
        sends(&out).iter().any(|s| s.0 == 2)
    };
    assert!(!sent_at(&mut brain, 1_000.0 + quiet - 5.0), "not sent in the quiet period");
    assert!(sent_at(&mut brain, 1_000.0 + quiet + 5.0), "sent after the quiet period");
}

#[test]
fn near_the_end_of_the_process_only_attempts_that_can_finish_start() {
    let closing = |at| {
        vec![
            Event::ProcessEndsAt(at),
            Event::MessageArrived(message(1, 0, None)),
            Event::MessageArrived(message(2, 2, None)),
        ]
    };
    let ids = |at| sends(&brain(closing(at)).1).iter().map(|s| s.0).collect::<Vec<_>>();
    assert!(ids(1_100.0).is_empty());
    assert_eq!(
        ids(1_900.0),
        [1],
        "the process could end before a slow attempt of the at-most-once message does"
    );
    assert_eq!(ids(9_000.0).len(), 2);
}
