//! Starts of deduplicated messages, which the other holders confirm first.
//!
//! A repeat of such a message is dropped by the endpoints of one zone, or for a limited time. Only the dispatcher
//! that sent it knows both, so a dispatcher that takes it over has to know at least that it may have run.

use super::*;

impl Replicator {
    /// Whether an attempt of an own message may be sent, once its start is recorded ([`Replicator::record_start`]). That
    /// of a deduplicated message waits until all holders that do not count as gone know that it may have run;
    /// [`ReplicationEvent::Start`] reports that.
    pub fn is_start_confirmed(&self, id: &str) -> bool {
        let Some(replica) = self.replicas.get(id) else { return true };
        replica.kind != Repeatability::Deduplicated
            || (replica.copy.stage == Stage::Started && !self.unconfirmed.contains_key(id))
    }

    /// Whether a holder may know, and has not said yet, that a former owner of the message has started it.
    pub(super) fn awaits_former_starts(&self, replica: &Replica) -> bool {
        replica.copy.stage == Stage::Accepted
            && replica.copy.fence.epoch > 0
            && self.unconfirmed.contains_key(&replica.copy.id)
    }

    /// Reports a deduplicated message that may be sent now.
    pub(super) fn report_confirmed_start(&mut self, id: &str) {
        if self.replicas.get(id).is_some_and(is_own_start) && self.is_start_confirmed(id) {
            self.events.push(ReplicationEvent::Start(id.to_string()));
        }
    }

    /// A peer has no room for the copy of a message whose start is to be confirmed: without a copy it cannot take the
    /// message over, so its confirmation is not needed.
    pub(super) fn on_start_not_stored(&mut self, from: &str, id: &str) {
        if self.replicas.get(id).is_some_and(is_own_start) {
            self.confirm(id, from);
            self.report_confirmed_start(id);
        }
    }
}

/// Whether this is an own deduplicated message that was started.
fn is_own_start(replica: &Replica) -> bool {
    replica.kind == Repeatability::Deduplicated && replica.is_owner() && replica.copy.stage == Stage::Started
}
