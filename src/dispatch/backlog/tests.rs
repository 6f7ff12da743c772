//! Tests of the module `backlog`.

use super::*;

/// Guards against messages that wait beyond their deadline, and against losing the order of     /// numbers.
#[test]
fn first_messages_go_while_there_is_room_and_expired_ones_at_once() {
    let mut b = Backlog::default();
    [(3, 900.0), (1, 5_000.0), (2, 50.0), (4, 10.0)].into_iter().for_each(|(no, until)| b.push(no, until));
    assert_eq!(b.next_due(), Some(10.0));
    assert_eq!(b.take(0.0, 1), [1]);
    assert_eq!(b.take(20.0, 0), [4]);
    b.remove(2);
    assert_eq!((b.take(60.0, 0), b.len(), b.next_due()), (vec![], 1, Some(900.0)));
    assert_eq!(b.take(60.0, 9), [3]);
    assert!(b.is_empty());
}
