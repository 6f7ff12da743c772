//! Tests of the module `order`.

use super::*;

#[test]
fn a_message_has_its_turn_once_all_earlier_ones_of_its_key_have_ended() {
    let taken = |no, key| AcceptedMessage { no, key, ..AcceptedMessage::default() };
    let (a, b, other, free) = (taken(1, Some(7)), taken(2, Some(7)), taken(3, Some(8)), taken(4, None));
    let mut order = KeyOrder::default();
    [&b, &a, &other, &free].into_iter().for_each(|t| order.insert(t));
    assert!(!order.has_earlier(&a) && order.has_earlier(&b));
    assert!(!order.has_earlier(&other) && !order.has_earlier(&free));
    order.remove(a.no, a.key);
    assert!(!order.has_earlier(&b));
    order.remove(b.no, b.key);
    assert_eq!(order.0.len(), 1);
}
