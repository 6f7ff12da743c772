//! Copies, answers to queries and requests for grants that peers send.

use super::*;

impl Replicator {
    /// Processes a peer's answer to a query. It has no body, so it is kept apart from the copies: a holder of
    /// an incomplete copy would acknowledge the message, and deliver it after a takeover.
    pub(super) fn on_query_answer(&mut self, now: Ms, from: &str, wire: WireCopy) {
        let id = wire.id.clone();
        let Some((asked, _)) = self.queries.get_mut(&id) else { return };
        asked.remove(from);
        let all = asked.is_empty();
        let answer = Some(wire).filter(|w| !w.owner.is_empty()).and_then(WireCopy::read);
        let is_known = answer.is_some();
        if let Some(mut copy) = answer.filter(|_| !self.replicas.contains(&id)) {
            copy.content.valid_until = copy.content.valid_until.saturating_add(now);
            self.keep_query_answer(copy);
        }
        if all || is_known {
            self.finish_query(id);
        }
    }

    fn keep_query_answer(&mut self, answer: MessageCopy) {
        if self.query_answers.update(&answer.id, |known| known.merge(&answer)).is_none()
            && self.has_room_for(&answer)
        {
            self.query_answers.insert(answer.id.clone(), answer);
        }
    }

    pub(super) fn on_copy(&mut self, now: Ms, from: &str, wire: WireCopy) {
        let kind = wire.repeatability();
        let Some(mut copy) = wire.read() else {
            self.counts.invalid_messages += 1;
            return;
        };
        copy.content.valid_until = copy.content.valid_until.saturating_add(now);
        match self.replicas.contains(&copy.id) {
            true => self.merge_copy(now, from, copy),
            false => self.add_copy(now, from, copy, kind),
        }
    }

    /// Adds a peer's copy of a message that is not held here.
    fn add_copy(&mut self, now: Ms, from: &str, mut copy: MessageCopy, kind: Repeatability) {
        let me = self.spec.name.clone();
        let same_message = |known: &&MessageCopy| known.content.accepted_by == copy.content.accepted_by;
        if let Some(known) = self.query_answers.get(&copy.id).filter(same_message).cloned() {
            copy.merge(&known);
        }
        copy.drop_body_if_ended();
        let accepted_here = copy.content.accepted_by == me;
        if accepted_here && !copy.stage.is_end() && copy.fence.owner == me {
            return self.reclaim_own(now, copy, kind);
        }
        if !copy.holders.contains(&me) && !accepted_here {
            self.counts.invalid_messages += 1;
            return;
        }
        if !self.has_room_for(&copy) {
            self.counts.copies_rejected += 1;
            return self.send(from, Payload::NotStored(copy.id));
        }
        self.counts.copies_accepted += 1;
        self.acknowledge(from, &copy);
        self.insert(Replica::new(&me, copy, kind));
    }

    /// Merges a peer's copy into the one that is held here.
    fn merge_copy(&mut self, now: Ms, from: &str, copy: MessageCopy) {
        let (id, me) = (copy.id.clone(), self.spec.name.clone());
        let unsettled = self.unsettled.contains(&id);
        let accepted_by = |k: &Replicator| k.replicas.get(&id).map(|r| r.copy.content.accepted_by.clone());
        if unsettled && accepted_by(self).is_some_and(|by| by != copy.content.accepted_by) {
            // The message was taken over in an earlier incarnation, and the state folder has it as if it had
            // been accepted here.
            self.replicas.update(&id, |replica| replica.copy.adopt_ownership(&copy));
            if copy.fence.owner != me {
                return self.release_own(&id);
            }
        }
        if accepted_by(self).is_some_and(|by| by != copy.content.accepted_by) {
            // The client submitted the message to two dispatchers: each has its own, and the arbiter's grant
            // decides between them.
            return self.acknowledge(from, &copy);
        }
        let state = |r: &Replica| (r.kind, r.copy.stage, r.is_owner());
        let Some((kind, stage_before, owned)) = self.replicas.get(&id).map(state) else { return };
        // An attempt that is unknown here may have run: a former owner's, or one that was begun after the copy was
        // made from which the state folder was restored.
        let begun = stage_before == Stage::Accepted
            && copy.stage == Stage::Started
            && owned
            && match kind {
                Repeatability::AtMostOnce => unsettled,
                Repeatability::Deduplicated => true,
                Repeatability::Repeatable => false,
            };
        let merged = self.replicas.update(&id, |replica| {
            // After a restart the holders may be unknown here.
            if replica.copy.holders.is_empty() {
                replica.copy.holders = copy.holders.clone();
                replica.copy.content.arbiter_incarnation = copy.content.arbiter_incarnation;
            }
            let outcome = replica.merge(&copy, false, Faults::default());
            replica.copy.drop_body_if_ended();
            (outcome, replica.is_owner(), replica.copy.clone())
        });
        let Some((outcome, owns, after)) = merged else { return };
        if outcome == MergeOutcome::Conflict {
            self.counts.conflicts += 1;
            self.events.push(ReplicationEvent::MembershipChanged(format!(
                "{id} has two different final answers; keeping {:?}",
                after.stage
            )));
        }
        self.acknowledge(from, &after);
        let ended_elsewhere = !stage_before.is_end() && after.stage.is_end();
        if begun && owns {
            self.events.push(ReplicationEvent::GiveUp(id));
        } else if owned && (!owns || ended_elsewhere) {
            self.release_own(&id);
        } else if (after.fence, after.stage) > (copy.fence, copy.stage) {
            // The sender does not know a later stage, or that its fence was replaced.
            self.send_copy(now, from, &id);
        }
    }

    fn acknowledge(&mut self, to: &str, copy: &MessageCopy) {
        let stage = wire::stage_number(copy.stage).0;
        self.send(to, Payload::Stored(CopyAck { id: copy.id.clone(), epoch: copy.fence.epoch, stage }));
    }

    /// Takes up an own message that was lost with the state folder and that a peer returned, under a higher
    /// fence. An at-most-once message is given up: nobody can prove that it was never sent.
    fn reclaim_own(&mut self, now: Ms, mut copy: MessageCopy, kind: Repeatability) {
        let participants = copy.holders.len() as u64 + 1;
        copy.fence = Fence {
            epoch: (copy.fence.epoch / participants + 1) * participants,
            owner: self.spec.name.clone(),
        };
        let step =
            if kind == Repeatability::AtMostOnce { ReplicaAction::GiveUp } else { ReplicaAction::Start };
        let (id, me) = (copy.id.clone(), self.spec.name.clone());
        self.counts.takeovers += 1;
        self.insert(Replica::new(&me, copy.clone(), kind));
        self.events.push(ReplicationEvent::OwnershipTaken(Box::new(copy), step));
        self.replicate(now, &id);
    }

    pub(super) fn on_grant_request(&mut self, now: Ms, from: &str, wire: WireCopy) {
        let fence = Fence { epoch: wire.epoch, owner: wire.owner.clone() };
        let (id, born) = (wire.id.clone(), wire.arbiter_incarnation);
        if !self.replicas.contains(&id) {
            self.on_copy(now, from, wire);
        }
        if !self.replicas.contains(&id) {
            return;
        }
        let incarnation = self.spec.incarnation_id;
        let answer = match born == incarnation {
            true => self.replicas.update(&id, |r| r.on_grant_request(&fence, Faults::default())),
            false => Some(PeerMessage::DenyGrant),
        };
        let Some(answer) = answer else { return };
        let mut wire = self.replicas.get(&id).map(|p| self.to_wire(now, p)).unwrap_or_default();
        wire.body = Vec::new();
        if answer == PeerMessage::Grant {
            self.counts.grants_given += 1;
            (wire.epoch, wire.owner) = (fence.epoch, fence.owner);
            self.send(from, Payload::Grant(wire));
        } else {
            self.counts.grants_denied += 1;
            self.send(from, Payload::DenyGrant(wire));
        }
    }
}
