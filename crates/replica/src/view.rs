//! The membership of the installation: which dispatchers are alive, suspect or gone, by SWIM with foca.
//!
//! foca implements the protocol without I/O. This module passes it the time, collects the packets and timers
//! that it requests, and turns its notifications into [`MembershipChange`]s. A restarted dispatcher keeps its
//! name and comes with a higher incarnation, which replaces what is known of the earlier one. A dispatcher
//! that was declared gone while it was running rejoins under the next incarnation.

use crate::Ms;
use foca::{
    Config, Foca, Identity, Member, NoCustomBroadcast, Notification, PostcardCodec, Runtime, State, Timer,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Interval in which one member is probed.
const PROBE_PERIOD: Duration = Duration::from_millis(600);
/// A direct probe is answered within this time; otherwise other members probe the member indirectly.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of members that probe a silent member indirectly.
const INDIRECT_PROBES: usize = 3;
/// How long a suspicion stands before the member counts as gone. A member slowed by half a second refutes it
/// in time.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_500);
const SUSPICION_TIMEOUT_MS: Ms = SUSPICION_TIMEOUT.as_millis() as Ms;
/// Size limit of a packet, in bytes.
const MAX_PACKET_BYTES: usize = 1_400;
/// A gone peer is forgotten after this time; it may rejoin under its name at any time.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);

/// A dispatcher as its peers know it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
// Error messages keep the name they have always shown.
#[serde(expecting = "struct Node")]
pub struct PeerIdentity {
    /// Its name.
    pub name: String,
    /// The address at which its peers reach it.
    pub address: String,
    /// Its incarnation; the higher one wins.
    pub life: u64,
}

impl Identity for PeerIdentity {
    type Addr = String;

    fn renew(&self) -> Option<PeerIdentity> {
        Some(PeerIdentity { life: self.life + 1, ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &PeerIdentity) -> bool {
        self.life > adversary.life
    }
}

/// A change of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// The member is alive.
    Up(PeerIdentity),
    /// The member is gone.
    Gone(PeerIdentity),
    /// The member restarted before it counted as gone.
    Restarted(PeerIdentity),
    /// The peers had declared this dispatcher gone; it rejoined under its next incarnation.
    Rejoined(PeerIdentity),
}

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It does not answer, and has not refuted the suspicion yet.
    Suspect,
    /// It counts as gone.
    Gone,
}

#[derive(Debug, Default)]
struct FocaRuntime {
    sends: Vec<(PeerIdentity, Vec<u8>)>,
    timers: Vec<(Timer<PeerIdentity>, Duration)>,
    changes: Vec<MembershipChange>,
}

impl Runtime<PeerIdentity> for FocaRuntime {
    fn notify(&mut self, notification: Notification<'_, PeerIdentity>) {
        self.changes.extend(match notification {
            Notification::MemberUp(n) => Some(MembershipChange::Up(n.clone())),
            Notification::MemberDown(n) => Some(MembershipChange::Gone(n.clone())),
            Notification::Rename(_, n) => Some(MembershipChange::Restarted(n.clone())),
            Notification::Rejoin(n) => Some(MembershipChange::Rejoined(n.clone())),
            _ => None,
        });
    }

    fn send_to(&mut self, to: PeerIdentity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<PeerIdentity>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// What a call to [`Membership`] produced.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Packets to send, each with its recipient.
    pub sends: Vec<(PeerIdentity, Vec<u8>)>,
    /// Changes of the membership.
    pub changes: Vec<MembershipChange>,
}

/// The membership as one dispatcher sees it.
pub struct Membership {
    me: PeerIdentity,
    foca: Foca<PeerIdentity, PostcardCodec, StdRng, NoCustomBroadcast>,
    timers: Vec<(Ms, Timer<PeerIdentity>)>,
    seeds: Vec<PeerIdentity>,
    announce_at: Ms,
    /// Since when each suspect member is suspected, by its identity and its own counter of refutations. foca
    /// drops its timers of suspicions when this dispatcher rejoins, and sets none for those that it only heard
    /// of.
    suspected: BTreeMap<(PeerIdentity, u16), Ms>,
    /// Packets that could not be decoded.
    pub undecodable: u64,
}

/// Interval at which seeds that are not members yet are contacted.
const ANNOUNCE_INTERVAL_MS: Ms = 500;

impl Membership {
    /// A membership that knows no other dispatcher yet; `seeds` are asked for the other members.
    pub fn new(now: Ms, me: PeerIdentity, seeds: Vec<PeerIdentity>, seed: u64) -> Membership {
        let config = Config {
            probe_period: PROBE_PERIOD,
            probe_rtt: PROBE_TIMEOUT,
            num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: SUSPICION_TIMEOUT,
            remove_down_after: Some(FORGET_AFTER),
            max_packet_size: NonZeroUsize::new(MAX_PACKET_BYTES).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            ..Config::simple()
        };
        let foca = Foca::new(me.clone(), config, StdRng::seed_from_u64(seed), PostcardCodec);
        let seeds = seeds.into_iter().filter(|n| n.name != me.name).collect();
        Membership {
            me,
            foca,
            timers: Vec::new(),
            seeds,
            announce_at: now,
            suspected: BTreeMap::new(),
            undecodable: 0,
        }
    }

    /// This dispatcher, with its incarnation as the peers know it.
    pub fn me(&self) -> &PeerIdentity {
        &self.me
    }

    /// When [`Membership::tick`] has work to do.
    pub fn next_due(&self) -> Ms {
        let timers = self.timers.iter().map(|t| t.0);
        let suspicions = self.suspected.values().map(|since| since + SUSPICION_TIMEOUT_MS);
        timers.chain(suspicions).fold(self.announce_at, Ms::min)
    }

    /// Fires the timers that are due and contacts missing seeds.
    pub fn tick(&mut self, now: Ms) -> Output {
        let mut all = FocaRuntime::default();
        let due: Vec<Timer<PeerIdentity>> = {
            // Ordered by due time, then by foca's own order of timers: probes come before the timers that end
            // them.
            let mut due: Vec<(Ms, Timer<PeerIdentity>)> = Vec::new();
            let mut at = 0;
            while at < self.timers.len() {
                if self.timers[at].0 <= now {
                    due.push(self.timers.swap_remove(at));
                } else {
                    at += 1;
                }
            }
            due.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)));
            due.into_iter().map(|d| d.1).collect()
        };
        for timer in due {
            if let Err(e) = self.foca.handle_timer(timer, &mut all) {
                // A late timer may belong to a probe round that is over.
                let _ = e;
            }
        }
        self.end_suspicions(now, &mut all);
        if now >= self.announce_at {
            self.announce_at = now + ANNOUNCE_INTERVAL_MS;
            let known: Vec<String> = self.foca.iter_members().map(|m| m.id().name.clone()).collect();
            let missing = self.seeds.iter().filter(|s| !known.contains(&s.name)).cloned();
            for seed in missing.collect::<Vec<_>>() {
                let _ = self.foca.announce(seed, &mut all);
            }
        }
        self.finish(now, all)
    }

    /// Declares the members gone that have not refuted their suspicion in time.
    fn end_suspicions(&mut self, now: Ms, runtime: &mut FocaRuntime) {
        let due = |(_, since): &(&(PeerIdentity, u16), &Ms)| **since + SUSPICION_TIMEOUT_MS <= now;
        let gone: Vec<Member<PeerIdentity>> = self
            .suspected
            .iter()
            .filter(due)
            .map(|((id, refutations), _)| Member::new(id.clone(), *refutations, State::Down))
            .collect();
        if gone.is_empty() {
            return;
        }
        // A member that is still suspect after this has its whole time again.
        self.suspected
            .values_mut()
            .filter(|since| **since + SUSPICION_TIMEOUT_MS <= now)
            .for_each(|s| *s = now);
        let _ = self.foca.apply_many(gone.into_iter(), true, runtime);
    }

    /// Notes which members are suspect now, and since when.
    fn update_suspected(&mut self, now: Ms) {
        let suspects = self.foca.iter_membership_state().filter(|m| m.state() == State::Suspect);
        let suspects = suspects.map(|m| (m.id().clone(), m.incarnation()));
        let since = |key: (PeerIdentity, u16)| {
            let since = self.suspected.get(&key).copied().unwrap_or(now);
            (key, since)
        };
        self.suspected = suspects.map(since).collect();
    }

    /// Processes a packet.
    pub fn receive(&mut self, now: Ms, packet: &[u8]) -> Output {
        let mut all = FocaRuntime::default();
        if self.foca.handle_data(packet, &mut all).is_err() {
            self.undecodable += 1;
        }
        self.finish(now, all)
    }

    /// Leaves the installation: the peers learn of it at once, without suspecting this dispatcher first.
    pub fn leave(&mut self, now: Ms) -> Output {
        let mut all = FocaRuntime::default();
        let _ = self.foca.leave_cluster(&mut all);
        self.finish(now, all)
    }

    fn finish(&mut self, now: Ms, all: FocaRuntime) -> Output {
        self.timers.extend(all.timers.into_iter().map(|(t, after)| (now + after.as_millis() as Ms, t)));
        for change in &all.changes {
            if let MembershipChange::Rejoined(n) = change {
                self.me = n.clone();
            }
        }
        self.update_suspected(now);
        Output { sends: all.sends, changes: all.changes }
    }

    /// All members but this dispatcher, with their states, ordered by name.
    pub fn members(&self) -> Vec<(PeerIdentity, MemberState)> {
        let member_state = |s: State| match s {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down => MemberState::Gone,
        };
        let mut all: Vec<(PeerIdentity, MemberState)> = self
            .foca
            .iter_membership_state()
            .map(|m| (m.id().clone(), member_state(m.state())))
            .filter(|(n, _)| n.name != self.me.name)
            .collect();
        all.sort();
        all
    }

    /// The names of all members that do not count as gone, including this dispatcher.
    pub fn alive(&self) -> Vec<String> {
        let mut names: Vec<String> = self.foca.iter_members().map(|m| m.id().name.clone()).collect();
        names.push(self.me.name.clone());
        names.sort();
        names.dedup();
        names
    }
}

impl PartialOrd for MemberState {
    fn partial_cmp(&self, other: &MemberState) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for MemberState {
    fn cmp(&self, other: &MemberState) -> std::cmp::Ordering {
        (*self as u8).cmp(&(*other as u8))
    }
}

#[cfg(test)]
mod tests;
