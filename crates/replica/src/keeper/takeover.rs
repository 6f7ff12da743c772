//! Peers that count as gone, and the takeover of their messages.

use super::*;

impl Replicator {
    /// Updates which peers count as gone.
    pub(super) fn update_gone(&mut self, now: Ms) {
        let alive: BTreeSet<String> = self.membership.alive().into_iter().collect();
        // After a loss of the majority no peer counts as gone until it had the time to answer again.
        let since = self.majority_since.take().unwrap_or(now);
        self.majority_since = self.has_majority(now).then_some(since);
        let majority = self.majority_since.is_some_and(|t| t + PEER_GONE_AFTER_MS <= now);
        let mut lost = Vec::new();
        for (name, p) in &mut self.peers {
            let silent = p.last_received.is_none_or(|t| t + PEER_GONE_AFTER_MS <= now);
            let gone = majority && silent && p.incarnation != 0 && !alive.contains(name);
            if gone && !p.gone {
                p.gone = true;
                p.needs_fences = true;
                lost.push((name.clone(), p.open_messages));
            }
        }
        for (name, open) in lost {
            let here = |p: &&Replica| p.copy.fence.owner == name && !p.copy.stage.is_end();
            let here = self.replicas.values().filter(here).count();
            // If all dispatchers with a copy are gone together, this log entry is the only trace of those
            // messages.
            let text = format!(
                "{name} counts as gone; it last reported {open} messages without a final answer, \
                 {here} of its messages have a copy here"
            );
            self.events.push(ReplicationEvent::MembershipChanged(text));
        }
    }

    pub(super) fn is_gone(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|p| p.gone)
    }

    /// Takes over messages of owners that are gone, if this dispatcher is the first live one in the order of
    /// succession. Gives up own messages that wait for a grant of an arbiter that is gone.
    pub(super) fn take_over_from_gone_owners(&mut self, now: Ms) {
        if !self.peers.values().any(|p| p.gone) {
            return;
        }
        let first = |p: &Replica| {
            let mut order = std::iter::once(&p.copy.content.accepted_by).chain(&p.copy.holders);
            order.find(|n| !self.is_gone(n)) == Some(&self.spec.name)
        };
        let due = |p: &&Replica| {
            !p.copy.stage.is_end() && !p.is_owner() && self.is_gone(&p.copy.fence.owner) && first(p)
        };
        let due: Vec<String> = self.replicas.values().filter(due).map(|p| p.copy.id.clone()).collect();
        due.iter().for_each(|id| self.take_over(now, id));
        let lost = |id: &&String| {
            let arbiter = self.replicas.get(id).and_then(|p| p.copy.holders.first());
            arbiter.is_some_and(|a| self.is_gone(a))
        };
        let lost: Vec<String> = self.grant_requests.iter().filter(lost).cloned().collect();
        for id in lost {
            self.grant_requests.remove(&id);
            self.events.push(ReplicationEvent::GiveUp(id));
        }
    }

    fn take_over(&mut self, now: Ms, id: &str) {
        let born = self.spec.incarnation_id;
        let taken = self.replicas.update(id, |replica| {
            // An arbiter of another incarnation has lost the grants that it gave.
            let grants_lost = replica.is_arbiter() && replica.copy.content.arbiter_incarnation != born;
            let step = replica.take_over();
            let unproven = replica.kind == Repeatability::AtMostOnce && grants_lost;
            // The message may have expired before the takeover; its final answer is still required.
            let expired = replica.copy.content.valid_until <= now;
            match step {
                ReplicaAction::NoAction => None,
                ReplicaAction::Start if unproven => Some(ReplicaAction::GiveUp),
                _ if expired => Some(ReplicaAction::GiveUp),
                step => Some(step),
            }
        });
        let Some(step) = taken.flatten() else { return };
        let Some(copy) = self.replicas.get(id).map(|r| r.copy.clone()) else { return };
        self.counts.takeovers += 1;
        self.events.push(ReplicationEvent::OwnershipTaken(Box::new(copy), step));
        self.replicate(now, id);
    }

    /// Settles restored messages once the comparison with every reachable peer has completed, and these peers
    /// and this dispatcher are a majority.
    pub(super) fn settle_restored(&mut self, now: Ms) {
        let Some(by) = self.settle_deadline else { return };
        let reachable: Vec<&Peer> = self.peers.values().filter(|p| p.has_lease(now)).collect();
        let compared = reachable.iter().filter(|p| p.compared).count();
        let done = 2 * (compared + 1) > self.spec.dispatcher_count && compared == reachable.len();
        let alone = self.spec.dispatcher_count <= 1;
        if !(done || alone || now >= by) {
            return;
        }
        self.settle_deadline = None;
        self.events.push(ReplicationEvent::Settled(done || alone));
        if !(done || alone) {
            // The dispatcher serves, but restored messages wait for a majority of the peers.
            if !self.unsettled.is_empty() {
                self.settle_deadline = Some(now + SCAN_INTERVAL_MS);
            }
            return;
        }
        let later = self.unsettled.iter().nth(MAX_MESSAGES_PER_SCAN).cloned();
        let remaining = later.map(|l| self.unsettled.split_off(&l)).unwrap_or_default();
        if !remaining.is_empty() {
            self.settle_deadline = Some(now);
        }
        for id in std::mem::replace(&mut self.unsettled, remaining) {
            let Some(replica) = self.replicas.get(&id) else { continue };
            if replica.copy.holders.is_empty() && replica.copy.stage == Stage::Accepted {
                // No peer has a copy: it is treated as if it had been accepted just now.
                let (content, kind) = (replica.copy.content.clone(), replica.kind);
                if self.accept(now, &id, content, kind) {
                    self.events.push(ReplicationEvent::Start(id));
                }
            } else if self.request_grant(now, &id) {
                self.events.push(ReplicationEvent::Start(id));
            }
        }
    }
}
