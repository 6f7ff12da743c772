//! The seats that stand in a journal, as a start reads them; no I/O.

use crate::journal::CallNo;
use lilacbank_cells::wire::SeatRecord;
use prost::Message as _;
use std::collections::BTreeMap;

/// The phase of a seat whose tenant is served here: see [`SeatRecord::phase`].
const SETTLED: u32 = 1;

/// What stands in a journal of seats.
#[derive(Debug, Default)]
pub(super) struct SeatsRead {
    /// The last record of each tenant.
    pub(super) last: BTreeMap<String, SeatRecord>,
    /// Adoptions that were begun and not ended: messages from this number on are not there yet.
    adopting: BTreeMap<String, CallNo>,
}

impl SeatsRead {
    /// One more record. Returns the tenant and number from which on messages of an adoption that was cut short are void.
    pub(super) fn take(&mut self, bytes: &[u8]) -> Option<(String, CallNo)> {
        let Ok(record) = SeatRecord::decode(bytes) else {
            log::error!("a seat in the journal cannot be read");
            return None;
        };
        let tenant = record.tenant.clone();
        match record.adopts_from {
            Some(from) => self.adopting.insert(tenant.clone(), from).map(|old| (tenant, old)),
            None => {
                // Only the settled seat behind its messages ends an adoption. Any other one was written after a restart
                // that found it cut short.
                let settled = record.phase == SETTLED;
                let cut_short = self.adopting.remove(&tenant).filter(|_| !settled);
                self.last.insert(tenant.clone(), record);
                cut_short.map(|from| (tenant, from))
            }
        }
    }

    /// Adoptions that never ended.
    pub(super) fn cut_short(&self) -> impl Iterator<Item = (&String, CallNo)> {
        self.adopting.iter().map(|(t, no)| (t, *no))
    }

    /// Does the message stand under an offer that is not settled?
    pub(super) fn is_offered(&self, tenant: &str, no: CallNo) -> bool {
        self.last.get(tenant).is_some_and(|r| matches!(r.phase, 3 | 4) && r.offered.contains(&no))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(phase: u32, adopts_from: Option<CallNo>) -> Vec<u8> {
        SeatRecord { tenant: "acme".into(), phase, adopts_from, ..SeatRecord::default() }.encode_to_vec()
    }

    /// Guards against messages of an adoption that a crash cut short, which a later seat of the tenant made valid: they ran
    /// here and where the tenant still was.
    #[test]
    fn only_a_settled_seat_ends_an_adoption() {
        let mut read = SeatsRead::default();
        assert_eq!(read.take(&record(1, Some(5))), None);
        assert_eq!(read.cut_short().collect::<Vec<_>>(), [(&"acme".to_string(), 5)]);
        assert_eq!(read.take(&record(0, None)), Some(("acme".to_string(), 5)), "away, after a restart");
        assert_eq!(read.cut_short().count(), 0);
        assert_eq!(read.take(&record(1, Some(9))), None);
        assert_eq!(read.take(&record(1, Some(12))), Some(("acme".to_string(), 9)), "begun anew");
        assert_eq!(read.take(&record(1, None)), None, "whole");
        assert_eq!(read.take(&record(2, None)), None);
    }
}
