//! Leases of returning owners: a peer learns of the fences that replaced its own before it may act again.

use super::*;

impl Replicator {
    /// A heartbeat has arrived: whether its sender may renew its lease. A peer that had counted as gone, has
    /// restarted or has lost its connection first gets all fences that replaced its own, and confirms them.
    pub(super) fn has_newest_fences(&mut self, now: Ms, from: &str) -> bool {
        let Some(p) = self.peers.get_mut(from) else { return false };
        if p.gone {
            p.gone = false;
            p.comparison_due = now;
            self.events.push(ReplicationEvent::MembershipChanged(format!("{from} is reachable again")));
        }
        if std::mem::take(&mut p.needs_fences) {
            p.fences_resend_due = now;
            let newer = self.newer_fences(from);
            self.peers.entry(from.to_string()).and_modify(|p| p.unconfirmed_fences = newer);
        }
        self.resend_fences(now, from);
        self.peers.get(from).is_some_and(|p| p.unconfirmed_fences.is_empty())
    }

    /// The messages that were taken over from a peer and that it may hold under its own fence.
    pub(super) fn newer_fences(&self, from: &str) -> BTreeSet<String> {
        let passed = |p: &&Replica| {
            p.copy.fence.epoch > 0 && p.copy.fence.owner != *from && self.is_shared_with(p, from)
        };
        let ids = self.replicas.values().filter(passed).take(MAX_FENCES_RESENT);
        ids.map(|p| p.copy.id.clone()).collect()
    }

    pub(super) fn resend_fences(&mut self, now: Ms, to: &str) {
        let Some(p) = self.peers.get_mut(to).filter(|p| p.fences_resend_due <= now) else { return };
        p.fences_resend_due = now + RESEND_INTERVAL_MS;
        // A copy that has expired since has no fence.
        p.unconfirmed_fences.retain(|id| self.replicas.contains(id));
        let ids = p.unconfirmed_fences.clone();
        ids.iter().for_each(|id| self.send_copy(now, to, id));
    }

    pub(super) fn confirm_fence(&mut self, by: &str, id: &str) {
        if let Some(p) = self.peers.get_mut(by) {
            p.unconfirmed_fences.remove(id);
        }
    }
}
