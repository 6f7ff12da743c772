//! Anti-entropy: two dispatchers compare the copies that both should have, and send those that differ.

use super::*;

/// Interval between comparisons of the copies that two peers share.
const COMPARISON_INTERVAL_MS: Ms = 5_000;
/// A comparison that makes no progress for this long is restarted.
const COMPARISON_TIMEOUT_MS: Ms = 2_000;
/// Copies with a final answer that are valid for less than this are not compared.
const MIN_COMPARED_VALIDITY_MS: Ms = 2_000;
/// Buckets requested in one message of a comparison, at most.
const MAX_BUCKETS_PER_REQUEST: usize = 64;
/// Entry hashes sent for the requested buckets, at most.
pub(super) const MAX_HASHES_PER_REQUEST: usize = 65_536;
/// A digest of the copies shared with a peer is rebuilt after this time.
const DIGEST_CACHE_MS: Ms = 500;

/// Digest of the copies shared with a peer, and their ids by bucket. It is cached, not rebuilt for each peer
/// message.
#[derive(Debug)]
pub(super) struct PeerDigest {
    pub(super) at: Ms,
    pub(super) tree: HashTree,
    pub(super) ids: BTreeMap<u32, Vec<String>>,
}

/// A comparison in progress.
#[derive(Debug, Default)]
pub(super) struct Comparison {
    /// When it started, or last requested buckets.
    pub(super) since: Ms,
    /// Hash messages that were sent and not answered.
    pub(super) unanswered: usize,
    /// Differing buckets that were not requested yet.
    pub(super) to_request: Vec<u32>,
    /// Buckets that were requested and have not arrived completely.
    pub(super) requested: Vec<u32>,
}

impl Replicator {
    /// The digest of the copies shared with a peer; `None` if the peer is unknown.
    pub(super) fn digest(&mut self, now: Ms, with: &str) -> Option<&PeerDigest> {
        let made = self.peers.get(with)?.digest.as_ref().is_some_and(|t| t.at + DIGEST_CACHE_MS > now);
        if !made {
            // Copies that either side drops soon do not count as a difference.
            let open = |p: &Replica| {
                !p.copy.stage.is_end() || p.copy.content.valid_until > now + MIN_COMPARED_VALIDITY_MS
            };
            let both: Vec<&MessageCopy> = self
                .replicas
                .values()
                .filter(|p| open(p) && self.is_shared_with(p, with))
                .map(|p| &p.copy)
                .collect();
            let mut ids: BTreeMap<u32, Vec<String>> = BTreeMap::new();
            both.iter().for_each(|c| ids.entry(digest::bucket(&c.id) as u32).or_default().push(c.id.clone()));
            let digest = PeerDigest { at: now, tree: HashTree::from_copies(both.into_iter()), ids };
            self.peers.get_mut(with)?.digest = Some(digest);
        }
        self.peers.get(with)?.digest.as_ref()
    }

    /// The ids of the shared copies in these buckets, each with the hash of its state.
    pub(super) fn entries(&mut self, now: Ms, with: &str, buckets: &[u32]) -> Vec<(String, u64)> {
        let wanted: BTreeSet<u32> = buckets.iter().copied().take(MAX_BUCKETS_PER_REQUEST).collect();
        let Some(digest) = self.digest(now, with) else { return Vec::new() };
        let ids: Vec<String> =
            wanted.iter().filter_map(|b| digest.ids.get(b)).flat_map(|ids| ids.iter().cloned()).collect();
        let state = |id: String| self.replicas.get(&id).map(|p| digest::hash(&p.copy)).map(|h| (id, h));
        ids.into_iter().filter_map(state).collect()
    }

    pub(super) fn send_missing(&mut self, now: Ms, to: &str, id: &str) {
        self.counts.missing_copies_sent += 1;
        self.send_copy(now, to, id);
    }

    pub(super) fn compare_if_due(&mut self, now: Ms, name: &str) {
        let Some(p) = self.peers.get_mut(name).filter(|p| p.has_lease(now)) else { return };
        let stuck = |r: &Comparison| r.since + COMPARISON_TIMEOUT_MS <= now;
        match &mut p.comparison {
            // A peer message was lost: buckets that are known to differ are requested before everything is
            // compared anew.
            Some(r) if stuck(r) && !r.to_request.is_empty() => {
                r.unanswered = 0;
                r.requested.clear();
                return self.request_next_buckets(now, name);
            }
            Some(r) if !stuck(r) => return,
            None if p.comparison_due > now => return,
            _ => {}
        }
        p.comparison = Some(Comparison { since: now, unanswered: 1, ..Comparison::default() });
        p.comparison_due = now + COMPARISON_INTERVAL_MS;
        p.digest = None;
        let hashes = self.digest(now, name).and_then(|t| t.tree.children(0, 0)).unwrap_or_default();
        self.send(name, Payload::Hashes(Hashes { level: 0, at: 0, hashes }));
    }

    pub(super) fn on_differing_children(&mut self, now: Ms, from: &str, d: DifferingChildren) {
        let Some(r) = self.peers.get_mut(from).and_then(|p| p.comparison.as_mut()) else { return };
        r.unanswered = r.unanswered.saturating_sub(1);
        let most = FAN_OUT.pow((d.level + 1).min(DEPTH));
        let children: Vec<u32> =
            d.children.into_iter().filter(|c| (*c as usize) < most).take(FAN_OUT).collect();
        if d.level + 1 >= DEPTH {
            r.to_request.extend(children);
        } else {
            r.unanswered += children.len();
            for at in children {
                let tree = self.digest(now, from).map(|t| &t.tree);
                let hashes = tree.and_then(|t| t.children(d.level + 1, at as usize)).unwrap_or_default();
                self.send(from, Payload::Hashes(Hashes { level: d.level + 1, at, hashes }));
            }
        }
        self.request_next_buckets(now, from);
    }

    /// Requests the next buckets of a comparison; with none left the comparison is complete.
    pub(super) fn request_next_buckets(&mut self, now: Ms, with: &str) {
        let Some(p) = self.peers.get_mut(with) else { return };
        let Some(r) = p.comparison.as_mut().filter(|r| r.requested.is_empty()) else { return };
        if r.to_request.is_empty() {
            if r.unanswered == 0 {
                p.comparison = None;
                p.compared = true;
            }
            return;
        }
        let at: Vec<u32> = r.to_request.split_off(r.to_request.len().saturating_sub(MAX_BUCKETS_PER_REQUEST));
        (r.requested, r.since) = (at.clone(), now);
        let have =
            self.entries(now, with, &at).into_iter().map(|e| e.1).take(MAX_HASHES_PER_REQUEST).collect();
        self.send(with, Payload::RequestBuckets(BucketRequest { at, have }));
    }
}
