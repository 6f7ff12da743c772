//! Tests of the module `wire`.

use super::*;
use proptest::prelude::*;

fn contents() -> TenantContents {
    let held = |id: &str, ran| HandedOverMessage {
        id: id.into(),
        key: Some(7),
        body: vec![0, 255],
        first_attempt_at: ran,
        ..HandedOverMessage::default()
    };
    TenantContents { messages: vec![held("a", Some(5)), held("b", None)], ..TenantContents::default() }
}

fn messages() -> Vec<HandoffMessage<TenantContents>> {
    let epoch = 9;
    vec![
        HandoffMessage::Offer { epoch, contents: contents() },
        HandoffMessage::Offer { epoch, contents: TenantContents::default() },
        HandoffMessage::OfferRecorded { epoch },
        HandoffMessage::Commit { epoch },
        HandoffMessage::CommitAcknowledged { epoch },
        HandoffMessage::Withdraw { epoch },
        HandoffMessage::UnknownOffer { epoch },
        HandoffMessage::StaleEpoch { epoch },
        HandoffMessage::Query { epoch },
        HandoffMessage::Claim { epoch },
    ]
}

/// Guards against peer messages that are lost or changed when they arrive in pieces.
#[test]
fn messages_arrive_unchanged_in_pieces_of_any_size() {
    let all: Vec<Envelope> =
        messages().iter().map(|w| handoff_envelope("n1", "n2", "sotrans", 3, w)).collect();
    let bytes: Vec<u8> = all.iter().flat_map(Envelope::frame).collect();
    for size in [1, 2, 3, 7, 64, bytes.len()] {
        let (mut frames, mut got) = (FrameDecoder::default(), Vec::new());
        for piece in bytes.chunks(size) {
            frames.push(piece);
            while let Some(e) = frames.next_envelope().unwrap() {
                got.push(e);
            }
        }
        assert_eq!(got, all);
        let back: Vec<_> = got.iter().map(|e| e.handoff_message().unwrap()).collect();
        assert_eq!(back, messages());
    }
}

#[test]
fn unsupported_versions_kinds_and_lengths_are_errors() {
    let good = handoff_envelope("a", "b", "t", 1, &HandoffMessage::Commit { epoch: 1 });
    assert_eq!(Envelope { version: 2, ..good.clone() }.handoff_message(), Err(WireError::Version(2)));
    assert_eq!(Envelope { kind: 99, ..good.clone() }.handoff_message(), Err(WireError::UnknownKind(99)));
    assert_eq!(Envelope { kind: 0, ..good }.handoff_message(), Err(WireError::UnknownKind(0)));
    // A tool's request is no message of the move protocol, but its version counts as well.
    let newer = Envelope { version: 2, kind: MessageKind::ToolRequest as i32, ..Envelope::default() };
    let mut frames = FrameDecoder::default();
    frames.push(&newer.encode_length_delimited_to_vec());
    assert_eq!(frames.next_envelope(), Err(WireError::Version(2)));
    let next = |bytes: &[u8]| {
        let mut frames = FrameDecoder::default();
        frames.push(bytes);
        frames.next_envelope()
    };
    assert_eq!(next(&[0xff, 0xff, 0xff, 0x7f]), Err(WireError::TooLong(0x0fff_ffff)));
    assert!(matches!(next(&[0xff; 12]), Err(WireError::Malformed(_))));
    assert!(matches!(next(&[2, 0xff, 0xff]), Err(WireError::Malformed(_))));
    assert_eq!(next(&[0x80]), Ok(None));
}

#[test]
fn an_ownership_state_is_restored_as_it_was_stored() {
    let phases = [
        Phase::OwnedElsewhere { at: None },
        Phase::OwnedElsewhere { at: Some(0) },
        Phase::Owned,
        Phase::Draining { to: 4 },
        Phase::Offered { to: 0, contents: contents() },
        Phase::Committed { to: 2, contents: TenantContents::default() },
        Phase::Received { from: 1, contents: contents() },
    ];
    for phase in phases {
        let state = TenantOwnership { epoch: 12, phase };
        let bytes = to_record("t", &state, |n| format!("n{n}")).encode_to_vec();
        let node = |name: &str| name[1..].parse().unwrap();
        // The offered messages are in the same journal, under their sequence numbers.
        let offered = |nos: &[u64]| match nos.is_empty() {
            true => TenantContents::default(),
            false => contents(),
        };
        assert_eq!(OwnershipRecord::decode(&bytes[..]).unwrap().to_ownership(node, offered), Some(state));
    }
    let bad = OwnershipRecord { phase: 3, ..OwnershipRecord::default() };
    assert_eq!(bad.to_ownership(|_| 0, |_| TenantContents::default()), None);
}

proptest! {
    /// Guards against a panic on arbitrary input.
    #[test]
    fn no_input_causes_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), size in 1usize..40) {
        let mut frames = FrameDecoder::default();
        for piece in bytes.chunks(size) {
            frames.push(piece);
            loop {
                match frames.next_envelope() {
                    Ok(Some(e)) => drop(e.handoff_message()),
                    Ok(None) => break,
                    Err(_) => return Ok(()),
                }
            }
        }
    }
}
