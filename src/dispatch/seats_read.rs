//! Reads the ownership records of a journal at startup; no I/O.

use crate::journal::MessageNo;
use lilacbank_cells::wire::OwnershipRecord;
use prost::Message as _;
use std::collections::BTreeMap;

/// The phase of a tenant that is served here: see [`OwnershipRecord::phase`].
const SETTLED: u32 = 1;

/// The ownership records read from a journal.
#[derive(Debug, Default)]
pub(super) struct OwnershipRecords {
    /// The latest record of each tenant.
    pub(super) latest: BTreeMap<String, OwnershipRecord>,
    /// Adoptions that have begun and not ended, with the number of their first message: messages from that
    /// number on do not count yet.
    adopting: BTreeMap<String, MessageNo>,
}

impl OwnershipRecords {
    /// Adds a record. If it shows that an adoption was cut short, returns the tenant and the number from
    /// which on its messages are void.
    pub(super) fn add(&mut self, bytes: &[u8]) -> Option<(String, MessageNo)> {
        let Ok(record) = OwnershipRecord::decode(bytes) else {
            log::error!("an ownership record in the journal cannot be decoded");
            return None;
        };
        let tenant = record.tenant.clone();
        match record.adopts_from {
            Some(from) => self.adopting.insert(tenant.clone(), from).map(|old| (tenant, old)),
            None => {
                // Only the settled record that follows the messages ends an adoption. Any other record was
                // written after a restart that found the adoption cut short.
                let settled = record.phase == SETTLED;
                let cut_short = self.adopting.remove(&tenant).filter(|_| !settled);
                self.latest.insert(tenant.clone(), record);
                cut_short.map(|from| (tenant, from))
            }
        }
    }

    /// Adoptions that never ended.
    pub(super) fn unfinished_adoptions(&self) -> impl Iterator<Item = (&String, MessageNo)> {
        self.adopting.iter().map(|(t, no)| (t, *no))
    }

    /// Whether the message is part of an offer or a commitment that is not settled.
    pub(super) fn is_offered(&self, tenant: &str, no: MessageNo) -> bool {
        self.latest.get(tenant).is_some_and(|r| matches!(r.phase, 3 | 4) && r.offered_numbers.contains(&no))
    }
}

#[cfg(test)]
mod tests {
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
}
