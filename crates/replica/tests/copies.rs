//! The rule for copies that differ, the digest and the wire.

use lilacbank_replica::copies::{Content, Copy, End, Fence, Merged, Stage};
use lilacbank_replica::digest::{Tree, BUCKETS, DEPTH};
use lilacbank_replica::wire::{Envelope, Frames, Refused, Say, WireCopy, FRAME_MOST, VERSION};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn stage() -> impl Strategy<Value = Stage> {
    prop_oneof![
        Just(Stage::Taken),
        Just(Stage::Started),
        (0..3u64).prop_map(|w| Stage::Ended(End::HandedBack(w))),
        Just(Stage::Ended(End::GivenUp)),
        Just(Stage::Ended(End::Delivered)),
    ]
}

fn copy(id: &str, stage: Stage, epoch: u64, owner: &str) -> Copy {
    let content =
        Content { class: "pay".into(), body: vec![7; 40], valid_until: 1_000, ..Content::default() };
    let fence = Fence { epoch, owner: owner.into() };
    Copy { id: id.into(), holders: vec!["h".into()], fence, stage, content }
}

fn copies() -> impl Strategy<Value = Copy> {
    (stage(), 0..4u64, "[a-c]").prop_map(|(s, e, o)| copy("m", s, e, &o))
}

proptest! {
    /// Guards against copies that end up different by the order in which they met.
    #[test]
    fn a_merge_is_a_join(a in copies(), b in copies(), c in copies()) {
        let join = |x: &Copy, y: &Copy| { let mut z = x.clone(); z.merge(y); z };
        prop_assert_eq!(join(&a, &b), join(&b, &a));
        prop_assert_eq!(join(&join(&a, &b), &c), join(&a, &join(&b, &c)));
        prop_assert_eq!(join(&a, &a), a.clone());
        let both = join(&a, &b);
        prop_assert!(both.stage >= a.stage && both.fence >= a.fence, "forward only");
    }

    /// Guards against a peer's nonsense that crashes, or is taken for a word.
    #[test]
    fn bytes_of_any_kind_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut frames = Frames::default();
        frames.push(&bytes);
        for _ in 0..4 {
            if !matches!(frames.take("i"), Ok(Some(_))) { break; }
        }
    }
}

#[test]
fn two_final_answers_are_counted_and_settled_the_same_way_everywhere() {
    let (given_up, delivered) =
        (copy("m", Stage::Ended(End::GivenUp), 1, "x"), copy("m", Stage::Ended(End::Delivered), 0, "y"));
    let (mut a, mut b) = (given_up.clone(), delivered.clone());
    assert_eq!((a.merge(&delivered), b.merge(&given_up)), (Merged::Conflict, Merged::Conflict));
    assert_eq!((a.stage, &a.fence), (Stage::Ended(End::Delivered), &given_up.fence));
    assert_eq!((a.stage, a.fence), (b.stage, b.fence));
}

/// Guards against a digest that misses a difference, and one whose cost grows with what is held.
#[test]
fn a_digest_finds_what_differs_at_a_cost_that_grows_with_it_alone() {
    let one = |n: usize| (format!("m{n}"), copy(&format!("m{n}"), Stage::Taken, 0, "x"));
    let mine: BTreeMap<String, Copy> = (0..20_000).map(one).collect();
    let mut theirs = mine.clone();
    let differ = |mine: &BTreeMap<String, Copy>, theirs: &BTreeMap<String, Copy>| {
        let (a, b) = (Tree::of(mine.values()), Tree::of(theirs.values()));
        let (mut nodes, mut sent) = (vec![0], 0);
        for level in 0..DEPTH {
            nodes = nodes
                .iter()
                .flat_map(|at| {
                    sent += 1;
                    a.differing(level, *at, &b.children(level, *at).unwrap())
                })
                .collect();
        }
        (nodes, sent)
    };
    assert_eq!(differ(&mine, &theirs), (vec![], 1), "alike: one look");
    for n in [5, 77, 4_000] {
        theirs.entry(format!("m{n}")).and_modify(|c| c.stage = Stage::Started);
    }
    theirs.remove("m9");
    let (buckets, sent) = differ(&mine, &theirs);
    assert_eq!(buckets.len(), 4);
    assert!(sent <= 1 + 4 + 4, "{sent} nodes of {} buckets", BUCKETS);
    let found: Vec<&str> = ["m5", "m77", "m4000", "m9"]
        .into_iter()
        .filter(|id| buckets.contains(&lilacbank_replica::digest::bucket(id)))
        .collect();
    assert_eq!(found.len(), 4);
}

#[test]
fn a_frame_comes_whole_or_is_refused_with_its_reason() {
    let word = |version, installation: &str| Envelope {
        version,
        installation: installation.into(),
        from: "a".into(),
        life: 3,
        say: Some(Say::Hold(WireCopy::from(&copy("m", Stage::Ended(End::HandedBack(40)), 2, "b")))),
    };
    let good = word(VERSION, "site");
    let bytes = good.frame();
    let mut frames = Frames::default();
    for b in &bytes {
        assert_eq!(frames.take("site"), Ok(None));
        frames.push(&[*b]);
    }
    let read = frames.take("site").unwrap().unwrap();
    let Some(Say::Hold(c)) = read.say.clone() else { panic!("{read:?}") };
    assert_eq!((read, c.read()), (good, Some(copy("m", Stage::Ended(End::HandedBack(40)), 2, "b"))));
    let refused = |bytes: &[u8]| {
        let mut frames = Frames::default();
        frames.push(bytes);
        frames.take("site")
    };
    assert_eq!(refused(&word(VERSION + 1, "site").frame()), Err(Refused::Version));
    assert_eq!(refused(&word(VERSION, "other").frame()), Err(Refused::Foreign));
    assert_eq!(refused(&((FRAME_MOST + 1) as u32).to_le_bytes().repeat(2)), Err(Refused::TooLong));
    for bit in 32..bytes.len() * 8 {
        let mut b = bytes.clone();
        b[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(refused(&b), Err(Refused::Damaged), "bit {bit}");
    }
    assert!(WireCopy { stage: 9, ..WireCopy::from(&copy("m", Stage::Taken, 0, "x")) }.read().is_none());
}
