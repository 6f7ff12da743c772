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
mod tests;
