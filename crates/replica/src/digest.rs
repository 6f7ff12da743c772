//! Comparing two stores without sending them: a tree of hashes over ranges of ids, as Merkle's.
//!
//! Each id falls into one of 4,096 buckets by its hash; a bucket's hash is the sum of those of its entries (id, stage and
//! fence), so it can be kept up to date and does not hang on any order. Sixteen buckets make a branch, sixteen branches a
//! limb, sixteen limbs the root. Two stores compare roots, then the limbs that differ, and so on down to the buckets, and
//! send the entries of those alone: the cost grows with what differs, not with what is held.

use crate::copies::{Copy, Stage};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Children of one node.
pub const FAN: usize = 16;
/// Levels below the root.
pub const DEPTH: u32 = 3;
/// Leaves.
pub const BUCKETS: usize = FAN.pow(DEPTH);

/// The bucket of an id.
pub fn bucket(id: &str) -> usize {
    (xxh3_64(id.as_bytes()) >> (64 - 4 * DEPTH)) as usize
}

/// The hash of a copy's id and state.
pub fn hash(copy: &Copy) -> u64 {
    let stage = match copy.stage {
        Stage::Taken => 1,
        Stage::Started => 2,
        Stage::Ended(e) => {
            3 + match e {
                crate::copies::End::HandedBack(w) => w.wrapping_mul(4),
                crate::copies::End::GivenUp => 1,
                crate::copies::End::Delivered => 2,
            }
        }
    };
    let fence = xxh3_64_with_seed(copy.fence.owner.as_bytes(), copy.fence.epoch);
    xxh3_64_with_seed(copy.id.as_bytes(), fence ^ u64::wrapping_mul(stage, 0x9E37_79B9_7F4A_7C15))
}

/// The hashes of a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tree {
    leaves: Vec<u64>,
}

impl Tree {
    /// Of these copies.
    pub fn of<'a>(copies: impl Iterator<Item = &'a Copy>) -> Tree {
        let mut leaves = vec![0u64; BUCKETS];
        copies.for_each(|c| leaves[bucket(&c.id)] = leaves[bucket(&c.id)].wrapping_add(hash(c)));
        Tree { leaves }
    }

    /// The hashes of the children of a node: `level` 0 is the root, and `at` counts the nodes of its level. None for a node
    /// that is not there.
    pub fn children(&self, level: u32, at: usize) -> Option<Vec<u64>> {
        if level >= DEPTH || at >= FAN.pow(level) {
            return None;
        }
        let width = BUCKETS / FAN.pow(level + 1);
        let from = at * FAN * width;
        Some((0..FAN).map(|n| sum(&self.leaves[from + n * width..from + (n + 1) * width])).collect())
    }

    /// Of the children of a node, those that differ from a peer's hashes.
    pub fn differing(&self, level: u32, at: usize, theirs: &[u64]) -> Vec<usize> {
        let Some(ours) = self.children(level, at) else { return Vec::new() };
        let differ = |(n, h): (usize, &u64)| (theirs.get(n) != Some(h)).then_some(at * FAN + n);
        ours.iter().enumerate().filter_map(differ).collect()
    }
}

fn sum(leaves: &[u64]) -> u64 {
    // One hash of many, so that two changes do not cancel out on the way up.
    leaves.iter().fold(0, |h: u64, l| h.rotate_left(5).wrapping_mul(0x0100_0000_01B3) ^ l)
}
