//! Tests of the module `figures`.

use super::*;

#[test]
fn every_class_is_listed_with_its_own_counts() {
    let mut f = Metrics::default();
    f.count("a", ClientOutcome::Completed);
    f.count("a", ClientOutcome::Completed);
    f.count("b", ClientOutcome::Failed);
    f.attempts_written = 3;
    let text = f.json(
        &["a".into(), "b".into()],
        Snapshot { pending: 4, members: 5, unavailable: 1, unproven: 2, ..Snapshot::default() },
    );
    let v: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(v["completed"]["a"], 2);
    assert_eq!(v["completed"]["b"], 0);
    assert_eq!(v["failed"]["b"], 1);
    assert_eq!(v["rejected"]["a"], 0);
    assert_eq!((v["upstream_requests"].clone(), v["pending"].clone()), (3.into(), 4.into()));
    assert_eq!((v["members"].clone(), v["members_unavailable"].clone()), (5.into(), 1.into()));
    assert!(!text.contains('\n'));
}
