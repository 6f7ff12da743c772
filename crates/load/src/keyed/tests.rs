//! Tests of the module `keyed`.

use super::*;
use crate::attempts::EndedBy;
use crate::content::difference;

/// Guards against an audit that reports no violations because it does not detect them.
#[test]
fn the_audit_finds_each_kind_of_violation() {
    let start = Instant::now();
    let sent = |number: usize| SubmittedMessage {
        id: format!("7-{number:x}-0"),
        key: 7,
        position: number,
        accepted: true,
        answer_time: Duration::ZERO,
    };
    let at = |ms: u64| start + Duration::from_millis(ms);
    let effect =
        |id: &str, from: u64, to: u64| Effect { id: id.into(), began_at: at(from), took_effect_at: at(to) };
    let attempt = |id: &str, from: u64, to: u64| Attempt {
        id: id.into(),
        began_at: at(from),
        ended: Some((at(to), EndedBy::Answer)),
        altered: None,
    };
    let all = [sent(0), sent(1), sent(2), sent(3)];
    let effects =
        [effect("7-0-0", 0, 10), effect("7-2-0", 20, 30), effect("7-1-0", 25, 40), effect("7-0-0", 50, 60)];
    let mut attempts = [attempt("7-0-0", 0, 10), attempt("7-2-0", 20, 30), attempt("7-1-0", 25, 40)];
    let key = "key-7-1";
    attempts[2].altered = difference("7-1-0", key, b"something else");
    let notices = ["{\"message\":\"7-1-0\",\"outcome\":\"given_up\"}".to_string()];
    let got = audit(&all, &effects, &attempts, &notices, |_| true);
    assert_eq!(got.lost, ["7-3-0"]);
    assert_eq!(got.repeated_effects, ["7-0-0"]);
    assert_eq!(got.out_of_order, ["7-1-0", "7-0-0"]);
    assert_eq!(
        got.overlapping,
        ["7-2-0 and 7-1-0, 5.00 ms after it began; the first one ended by Answer 5.00 ms later"]
    );
    assert_eq!(got.altered.len(), 1);
    assert_eq!(difference("7-1-0", key, &body_of("7-1-0")), None);
    assert!(difference("7-1-0", "key-7-2", &body_of("7-1-0")).is_some());
    assert!(difference("7-1-0", "", &body_of("7-1-0")).is_some());
    assert_eq!((got.accepted, got.delivered, got.notified), (4, 3, 1));
    assert!(!got.is_clean());
    let good = audit(&all[..1], &effects[..1], &attempts[..1], &[], |_| true);
    assert!(good.is_clean() && good.delivered == 1);
}
