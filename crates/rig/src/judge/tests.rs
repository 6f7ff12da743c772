//! Tests of the module `judge`.

use super::*;

/// Guards against a check that excuses every late answer, or none.
#[test]
fn an_answer_is_late_unless_its_dispatcher_had_an_outage() {
    let answer = |due, ended| FinalAnswer { id: "m".into(), dispatcher: 0, due, ended };
    let none = |_| Vec::new();
    assert!(late_answers(&[answer(4_000, 4_300), answer(4_000, 2_000)], none).is_empty());
    assert_eq!(late_answers(&[answer(4_000, 9_000)], none).len(), 1);
    assert!(late_answers(&[answer(4_000, 9_000)], |_| vec![(3_000, 5_000)]).is_empty());
    assert_eq!(
        late_answers(&[answer(9_000, 12_000)], |_| vec![(3_000, 5_000)]).len(),
        1,
        "the outage ended long before"
    );
}
