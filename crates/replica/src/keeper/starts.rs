//! Starts of deduplicated messages, which the other holders confirm first.
//!
//! A repeat of such a message is dropped by the endpoints of one zone, or for a limited time. Only the dispatcher
//! that sent it knows both, so a dispatcher that takes it over has to know at least that it may have run.

use super::*;

impl Replicator {
    /// Prepares the first attempt of an own deduplicated message, if that is possible now: the other holders are told
    /// that it may have run. Once they have confirmed it, [`Replicator::may_start_attempt`] allows the attempt and
    /// [`ReplicationEvent::Start`] is reported.
    pub fn prepare_start(&mut self, now: Ms, id: &str) {
        if self.may_prepare_start(now, id) {
            self.record_start(now, id);
        }
    }

    /// Whether [`Replicator::prepare_start`] can prepare the first attempt now.
    pub fn may_prepare_start(&self, now: Ms, id: &str) -> bool {
        let Some(replica) = self.replicas.get(id) else { return false };
        let first_fence = replica.copy.fence.epoch == 0;
        replica.kind == Repeatability::Deduplicated
            && replica.is_owner()
            && replica.copy.stage == Stage::Accepted
            && !self.unsettled.contains(id)
            && self.has_leases_of_holders(now, replica)
            // Under a later fence a holder may know that a former owner has started the message: all have to answer.
            && (first_fence || !self.unconfirmed.contains_key(id))
    }

    /// Whether all holders that do not count as gone know that the message may have run.
    pub(super) fn has_confirmed_start(&self, replica: &Replica) -> bool {
        replica.copy.stage == Stage::Started && !self.unconfirmed.contains_key(&replica.copy.id)
    }

    /// Reports a deduplicated message that may be started now.
    pub(super) fn report_confirmed_start(&mut self, id: &str) {
        let is_confirmed = |r: &Replica| {
            r.kind == Repeatability::Deduplicated && r.is_owner() && self.has_confirmed_start(r)
        };
        if self.replicas.get(id).is_some_and(is_confirmed) {
            self.events.push(ReplicationEvent::Start(id.to_string()));
        }
    }

    /// A peer has no room for the copy of a message whose start is being prepared: without a copy it cannot take the
    /// message over, so its confirmation is not needed.
    pub(super) fn on_start_not_stored(&mut self, from: &str, id: &str) {
        let is_prepared = |r: &Replica| {
            r.kind == Repeatability::Deduplicated && r.is_owner() && r.copy.stage == Stage::Started
        };
        if self.replicas.get(id).is_some_and(is_prepared) {
            self.confirm(id, from);
            self.report_confirmed_start(id);
        }
    }
}
