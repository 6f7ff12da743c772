//! Tests of the module `seats_read`.

use super::*;

fn record(phase: u32, adopts_from: Option<MessageNo>) -> Vec<u8> {
    OwnershipRecord { tenant: "acme".into(), phase, adopts_from, ..OwnershipRecord::default() }
        .encode_to_vec()
}

/// Guards against a later ownership record of the tenant making the messages of an adoption valid that a
/// crash had cut short: they ran here and at the dispatcher that still served the tenant.
#[test]
fn only_a_settled_record_ends_an_adoption() {
    let mut read = OwnershipRecords::default();
    assert_eq!(read.add(&record(1, Some(5))), None);
    assert_eq!(read.unfinished_adoptions().collect::<Vec<_>>(), [(&"acme".to_string(), 5)]);
    assert_eq!(read.add(&record(0, None)), Some(("acme".to_string(), 5)), "away, after a restart");
    assert_eq!(read.unfinished_adoptions().count(), 0);
    assert_eq!(read.add(&record(1, Some(9))), None);
    assert_eq!(read.add(&record(1, Some(12))), Some(("acme".to_string(), 9)), "begun again");
    assert_eq!(read.add(&record(1, None)), None, "complete");
    assert_eq!(read.add(&record(2, None)), None);
}
