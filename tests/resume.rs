//! What the module does with messages of an earlier process, and near the end of its own.

mod common;
use common::*;
use lilacbank::api::*;
use lilacbank::Brain;

fn brain(more: Vec<Event>) -> (Brain, Vec<Action>) {
    let mut brain = Brain::new(Settings { ends_confirmed: true, ..settings() });
    let rows = vec![row(0, 1, 0, 0), row(1, 1, 1, 0)];
    let mut events = vec![Event::List { rows, whole: true, cached: true }];
    events.extend(more);
    let mut out = Vec::new();
    brain.step(1_000.0, &events, &mut out);
    (brain, out)
}

fn message(id: MsgId, class: usize, key: Option<u64>) -> Message {
    Message { id, class, key, valid_until: 9_000.0, dest: 1, again: true, ..Message::default() }
}

fn sends(actions: &[Action]) -> Vec<(MsgId, RouteId)> {
    actions
        .iter()
        .filter_map(|a| if let Action::Send { id, route, .. } = a { Some((*id, *route)) } else { None })
        .collect()
}

fn resumed(message: Message, ran: Option<(Ms, usize)>) -> Event {
    Event::Resumed(Resumed { message, attempts: 1, ran, ended: false })
}

/// Classes: 0 safe, 1 keyed by zone, 2 unsafe.
#[test]
fn what_may_have_run_goes_no_further_than_its_class_permits() {
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
    assert!(sent.contains(&(2, 1)), "the keyed one goes to its own zone: {sent:?}");
    assert!(out.contains(&Action::Fail(3)) && sent.iter().all(|s| s.0 != 3));
}

/// A keyed message outside its window ends; it is not sent.
#[test]
fn a_window_that_is_over_ends_a_keyed_message() {
    let (_, out) = brain(vec![resumed(message(1, 1, None), Some((-4_000.0, 0)))]);
    assert_eq!((sends(&out), out.contains(&Action::Fail(1))), (vec![], true));
}

/// Guards against a key's later message overtaking one whose end nobody has heard of.
#[test]
fn a_key_waits_until_the_end_of_the_one_before_has_been_heard() {
    let ended =
        Event::Resumed(Resumed { message: message(1, 3, Some(7)), ended: true, ..Resumed::default() });
    let (mut brain, out) = brain(vec![ended, Event::Arrived(message(2, 3, Some(7)))]);
    assert_eq!(sends(&out), []);
    let mut out = Vec::new();
    brain.step(1_050.0, &[Event::Heard(1)], &mut out);
    assert_eq!(sends(&out).iter().map(|s| s.0).collect::<Vec<_>>(), [2]);
}

/// Guards against a key whose late attempt, of an earlier process, may run still: nothing of that attempt needs to be held.
#[test]
fn every_key_rests_after_a_restart() {
    let quiet = settings().key_quiet;
    let (mut brain, out) = brain(vec![Event::Restarted, Event::Arrived(message(2, 3, Some(7)))]);
    assert_eq!(sends(&out), []);
    let at = |brain: &mut Brain, now: Ms| {
        let mut out = Vec::new();
        brain.step(now, &[Event::Arrived(message(now as MsgId, 0, None))], &mut out);
        sends(&out).iter().any(|s| s.0 == 2)
    };
    assert!(!at(&mut brain, 1_000.0 + quiet - 5.0), "it rests");
    assert!(at(&mut brain, 1_000.0 + quiet + 5.0), "and goes then");
}

#[test]
fn near_the_end_of_the_process_only_what_can_finish_starts() {
    let closing = |at| {
        vec![Event::Closing(at), Event::Arrived(message(1, 0, None)), Event::Arrived(message(2, 2, None))]
    };
    let ids = |at| sends(&brain(closing(at)).1).iter().map(|s| s.0).collect::<Vec<_>>();
    assert!(ids(1_100.0).is_empty());
    assert_eq!(ids(1_900.0), [1], "an unsafe message would be cut off by a slow call");
    assert_eq!(ids(9_000.0).len(), 2);
}
