//! Compares two stores without transferring them, by a Merkle tree over hash ranges of message ids.
//!
//! Each id belongs to one of 4,096 buckets by its hash. A bucket's hash is the sum of the hashes of its
//! entries (id, stage and fence), so it does not depend on their order and could be updated incrementally.
//! The tree has a fan-out of 16 and three levels below the root. Two stores compare the children of the root,
//! then the children of the nodes that differ, and so on down to the buckets, and send only the entries of
//! differing buckets: the cost grows with the differences, not with the number of copies.

use crate::copies::{MessageCopy, Stage};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Children of each inner node.
pub const FAN_OUT: usize = 16;
/// Levels below the root.
pub const DEPTH: u32 = 3;
/// Number of leaves.
pub const BUCKETS: usize = FAN_OUT.pow(DEPTH);

/// The bucket of an id.
pub fn bucket(id: &str) -> usize {
    (xxh3_64(id.as_bytes()) >> (64 - 4 * DEPTH)) as usize
}

/// The hash of a copy's id, stage and fence.
pub fn hash(copy: &MessageCopy) -> u64 {
    let stage = match copy.stage {
        Stage::Accepted => 1,
        Stage::Started => 2,
        Stage::Ended(e) => {
            3 + match e {
                crate::copies::CopyEnding::Returned(w) => w.wrapping_mul(4),
                crate::copies::CopyEnding::GivenUp => 1,
                crate::copies::CopyEnding::Delivered => 2,
            }
        }
    };
    let fence = xxh3_64_with_seed(copy.fence.owner.as_bytes(), copy.fence.epoch);
    xxh3_64_with_seed(copy.id.as_bytes(), fence ^ u64::wrapping_mul(stage, 0x9E37_79B9_7F4A_7C15))
}

/// The hash tree of a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HashTree {
    leaves: Vec<u64>,
}

impl HashTree {
    /// Builds the tree of these copies.
    pub fn from_copies<'a>(copies: impl Iterator<Item = &'a MessageCopy>) -> HashTree {
        let mut leaves = vec![0u64; BUCKETS];
        copies.for_each(|c| leaves[bucket(&c.id)] = leaves[bucket(&c.id)].wrapping_add(hash(c)));
        HashTree { leaves }
    }

    /// The hashes of a node's children. `level` 0 is the root, and `at` is the node's index within its level.
    /// `None` if there is no such node.
    pub fn children(&self, level: u32, at: usize) -> Option<Vec<u64>> {
        if level >= DEPTH || at >= FAN_OUT.pow(level) {
            return None;
        }
        let width = BUCKETS / FAN_OUT.pow(level + 1);
        let from = at * FAN_OUT * width;
        Some((0..FAN_OUT).map(|n| combine(&self.leaves[from + n * width..from + (n + 1) * width])).collect())
    }

    /// The children of a node whose hashes differ from a peer's, by their index within the next level.
    pub fn differing_children(&self, level: u32, at: usize, theirs: &[u64]) -> Vec<usize> {
        let Some(ours) = self.children(level, at) else { return Vec::new() };
        let differ = |(n, h): (usize, &u64)| (theirs.get(n) != Some(h)).then_some(at * FAN_OUT + n);
        ours.iter().enumerate().filter_map(differ).collect()
    }
}

fn combine(leaves: &[u64]) -> u64 {
    // The combination depends on the order, so that two changes do not cancel each other out at a higher
    // level.
    leaves.iter().fold(0, |h: u64, l| h.rotate_left(5).wrapping_mul(0x0100_0000_01B3) ^ l)
}
