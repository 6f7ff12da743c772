//! The merge of differing copies, the digest and the wire format.

use lilacbank_replica::copies::{CopyEnding, Fence, MergeOutcome, MessageContent, MessageCopy, Stage};
use lilacbank_replica::digest::{HashTree, BUCKETS, DEPTH};
use lilacbank_replica::wire::{
    Envelope, FrameDecoder, FrameError, Payload, WireCopy, MAX_FRAME_BYTES, VERSION,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn stage() -> impl Strategy<Value = Stage> {
    prop_oneof![
        Just(Stage::Accepted),
        Just(Stage::Started),
        (0..3u64).prop_map(|w| Stage::Ended(CopyEnding::Returned(w))),
        Just(Stage::Ended(CopyEnding::GivenUp)),
        Just(Stage::Ended(CopyEnding::Delivered)),
    ]
}

fn copy(id: &str, stage: Stage, epoch: u64, owner: &str) -> MessageCopy {
    let content = MessageContent {
        class: "pay".into(),
        body: vec![7; 40],
        valid_until: 1_000,
        ..MessageContent::default()
    };
    let fence = Fence { epoch, owner: owner.into() };
    MessageCopy { id: id.into(), holders: vec!["h".into()], fence, stage, content }
}

fn copies() -> impl Strategy<Value = MessageCopy> {
    (stage(), 0..4u64, "[a-c]").prop_map(|(s, e, o)| copy("m", s, e, &o))
}

proptest! {
    /// Guards against copies that diverge because they were merged in a different order.
    #[test]
    fn merging_copies_is_a_join(a in copies(), b in copies(), c in copies()) {
        let join = |x: &MessageCopy, y: &MessageCopy| { let mut z = x.clone(); z.merge(y); z };
        prop_assert_eq!(join(&a, &b), join(&b, &a));
        prop_assert_eq!(join(&join(&a, &b), &c), join(&a, &join(&b, &c)));
        prop_assert_eq!(join(&a, &a), a.clone());
        let both = join(&a, &b);
        prop_assert!(both.stage >= a.stage && both.fence >= a.fence, "stage and fence only advance");
    }

    /// Guards against invalid bytes that cause a panic or are taken for a peer message.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut frames = FrameDecoder::default();
        frames.push(&bytes);
        for _ in 0..4 {
            if !matches!(frames.next_envelope("i"), Ok(Some(_))) { break; }
        }
    }
}

#[test]
fn different_final_answers_are_a_conflict_with_the_same_outcome_everywhere() {
    let (given_up, delivered) = (
        copy("m", Stage::Ended(CopyEnding::GivenUp), 1, "x"),
        copy("m", Stage::Ended(CopyEnding::Delivered), 0, "y"),
    );
    let (mut a, mut b) = (given_up.clone(), delivered.clone());
    assert_eq!((a.merge(&delivered), b.merge(&given_up)), (MergeOutcome::Conflict, MergeOutcome::Conflict));
    assert_eq!((a.stage, &a.fence), (Stage::Ended(CopyEnding::Delivered), &given_up.fence));
    assert_eq!((a.stage, a.fence), (b.stage, b.fence));
}

/// Guards against a digest that misses a difference, and one whose cost grows with the number of copies held.
#[test]
fn a_digest_finds_differences_at_a_cost_that_depends_only_on_them() {
    let one = |n: usize| (format!("m{n}"), copy(&format!("m{n}"), Stage::Accepted, 0, "x"));
    let mine: BTreeMap<String, MessageCopy> = (0..20_000).map(one).collect();
    let mut theirs = mine.clone();
    let differ = |mine: &BTreeMap<String, MessageCopy>, theirs: &BTreeMap<String, MessageCopy>| {
        let (a, b) = (HashTree::from_copies(mine.values()), HashTree::from_copies(theirs.values()));
        let (mut nodes, mut sent) = (vec![0], 0);
        for level in 0..DEPTH {
            nodes = nodes
                .iter()
                .flat_map(|at| {
                    sent += 1;
                    a.differing_children(level, *at, &b.children(level, *at).unwrap())
                })
                .collect();
        }
        (nodes, sent)
    };
    assert_eq!(differ(&mine, &theirs), (vec![], 1), "equal stores: only the root is compared");
    for n in [5, 77, 4_000] {
        theirs.entry(format!("m{n}")).and_modify(|c| c.stage = Stage::Started);
    }
    theirs.remove("m9");
    let (buckets, sent) = differ(&mine, &theirs);
    assert_eq!(buckets.len(), 4);
    assert!(sent <= 1 + 4 + 4, "{sent} nodes were compared, of {} buckets", BUCKETS);
    let found: Vec<&str> = ["m5", "m77", "m4000", "m9"]
        .into_iter()
        .filter(|id| buckets.contains(&lilacbank_replica::digest::bucket(id)))
        .collect();
    assert_eq!(found.len(), 4);
}

#[test]
fn a_frame_is_decoded_whole_or_rejected_with_a_reason() {
    let envelope = |version, installation: &str| Envelope {
        version,
        installation: installation.into(),
        from: "a".into(),
        incarnation: 3,
        payload: Some(Payload::Store(WireCopy::from(&copy(
            "m",
            Stage::Ended(CopyEnding::Returned(40)),
            2,
            "b",
        )))),
    };
    let good = envelope(VERSION, "site");
    let bytes = good.to_frame();
    let mut frames = FrameDecoder::default();
    for b in &bytes {
        assert_eq!(frames.next_envelope("site"), Ok(None));
        frames.push(&[*b]);
    }
    let read = frames.next_envelope("site").unwrap().unwrap();
    let Some(Payload::Store(c)) = read.payload.clone() else { panic!("{read:?}") };
    assert_eq!((read, c.read()), (good, Some(copy("m", Stage::Ended(CopyEnding::Returned(40)), 2, "b"))));
    let decode = |bytes: &[u8]| {
        let mut frames = FrameDecoder::default();
        frames.push(bytes);
        frames.next_envelope("site")
    };
    assert_eq!(decode(&envelope(VERSION + 1, "site").to_frame()), Err(FrameError::UnsupportedVersion));
    assert_eq!(decode(&envelope(VERSION, "other").to_frame()), Err(FrameError::WrongInstallation));
    assert_eq!(decode(&((MAX_FRAME_BYTES + 1) as u32).to_le_bytes().repeat(2)), Err(FrameError::TooLong));
    for bit in 32..bytes.len() * 8 {
        let mut b = bytes.clone();
        b[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(decode(&b), Err(FrameError::ChecksumMismatch), "bit {bit}");
    }
    assert!(WireCopy { stage: 9, ..WireCopy::from(&copy("m", Stage::Accepted, 0, "x")) }.read().is_none());
}
