//! How dispatchers write to each other about a tenant, and how a seat is written down: protobuf, by prost.
//!
//! On a connection each message is a frame: its length as a protobuf varint, then an [`Envelope`]. [`Frames`] takes bytes as
//! they come and gives envelopes; it does no I/O. A reader passes over fields that it does not know; an envelope of a
//! version that it does not speak is an error, since what it leaves out may be what matters.

use crate::moving::{Phase, Seat, Word};
use prost::Message as _;
use std::fmt;

/// The version that is spoken here.
pub const VERSION: u32 = 1;
/// Bytes of one envelope at most: a whole tenant's messages fit, a stranger's nonsense does not fill the memory.
pub const FRAME_MOST: usize = 8 << 20;

/// A message that is handed over, with all that the rules need to know of its past.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Held {
    /// Who handed it in; empty for the platform's clients.
    #[prost(string, tag = "1")]
    pub client: String,
    /// Under which id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// Its class, by name.
    #[prost(string, tag = "3")]
    pub class: String,
    /// The key of its order.
    #[prost(uint64, optional, tag = "4")]
    pub key: Option<u64>,
    /// Its idempotency key.
    #[prost(string, tag = "5")]
    pub idempotency: String,
    /// Its destination.
    #[prost(uint64, tag = "6")]
    pub dest: u64,
    /// It may be delivered until then: milliseconds since 1970.
    #[prost(uint64, tag = "7")]
    pub valid_until: u64,
    /// Where its final answer goes; only its front reads this.
    #[prost(bytes = "vec", tag = "8")]
    pub reply: Vec<u8>,
    /// The body.
    #[prost(bytes = "vec", tag = "9")]
    pub body: Vec<u8>,
    /// Attempts that were started.
    #[prost(uint32, tag = "10")]
    pub attempts: u32,
    /// The first attempt that may have run: when it was sent, in milliseconds since 1970,
    #[prost(uint64, optional, tag = "11")]
    pub ran_at: Option<u64>,
    /// and in which building; a repeat goes nowhere else.
    #[prost(string, tag = "12")]
    pub ran_in: String,
    /// Its number where it was held before.
    #[prost(uint64, tag = "13")]
    pub no: u64,
}

/// A key whose messages wait: one of it may run still where the tenant comes from.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Parked {
    /// The key.
    #[prost(uint64, tag = "1")]
    pub key: u64,
    /// Until then, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub until: u64,
}

/// A message that is over, or that ends where the tenant comes from: handed in again, it is not a new one.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Past {
    /// Who handed it in.
    #[prost(string, tag = "1")]
    pub client: String,
    /// Under which id; or, with `name`, the name under which a class that is never repeated remembers it.
    #[prost(string, tag = "2")]
    pub id: String,
    /// It is such a name.
    #[prost(bool, tag = "3")]
    pub name: bool,
    /// How it ended: 0 delivered, 1 given up, 2 handed back.
    #[prost(uint32, tag = "4")]
    pub ending: u32,
    /// With which wait, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub wait: u64,
    /// Until when it is remembered, in milliseconds since 1970.
    #[prost(uint64, tag = "6")]
    pub until: u64,
}

/// All that is held and known of a tenant.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Contents {
    /// The messages, in the order in which they were taken.
    #[prost(message, repeated, tag = "1")]
    pub held: Vec<Held>,
    /// Keys that wait.
    #[prost(message, repeated, tag = "2")]
    pub parked: Vec<Parked>,
    /// What is over.
    #[prost(message, repeated, tag = "3")]
    pub past: Vec<Past>,
    /// Since when they stand still, in milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub still_since: u64,
}

/// What an operator's tool asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Ask {
    /// Nothing; never asked.
    None = 0,
    /// How the seats are; of one tenant, or of all.
    Status = 1,
    /// Move the tenant.
    Move = 2,
    /// Take the move back.
    Abort = 3,
    /// Take back what was handed over to a dispatcher that never starts again.
    Reclaim = 4,
}

/// A tool's wish.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Wish {
    /// What.
    #[prost(enumeration = "Ask", tag = "1")]
    pub ask: i32,
    /// With a move: where to.
    #[prost(string, tag = "2")]
    pub to: String,
}

/// How a seat is, for people.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// Whose.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Its phase, in a word.
    #[prost(string, tag = "2")]
    pub phase: String,
    /// The dispatcher on the other side; may be empty.
    #[prost(string, tag = "3")]
    pub other: String,
    /// Its epoch.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Messages held here.
    #[prost(uint64, tag = "5")]
    pub held: u64,
    /// Of these, messages that stand still.
    #[prost(uint64, tag = "6")]
    pub still: u64,
    /// For how long it has been in this phase, in milliseconds; since the start of the process at most.
    #[prost(uint64, tag = "7")]
    pub since: u64,
    /// For how long messages stood still in the last move that ended here, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub stood: u64,
}

/// What a tool is answered.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Answer {
    /// Why the wish is not met; empty if it is.
    #[prost(string, tag = "1")]
    pub refused: String,
    /// The seats asked about.
    #[prost(message, repeated, tag = "2")]
    pub seats: Vec<Report>,
}

/// What is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Nothing; never said.
    None = 0,
    /// See [`Word::Offer`].
    Offer = 1,
    /// See [`Word::Received`].
    Received = 2,
    /// See [`Word::Commit`].
    Commit = 3,
    /// See [`Word::Settled`].
    Settled = 4,
    /// See [`Word::Cancel`].
    Cancel = 5,
    /// See [`Word::Unknown`].
    Unknown = 6,
    /// See [`Word::Stale`].
    Stale = 7,
    /// See [`Word::Query`].
    Query = 8,
    /// See [`Word::Claim`].
    Claim = 9,
    /// The offer cannot be taken: there is no room for it, or it bears names that are not known there.
    NoRoom = 10,
    /// Does somebody serve this tenant? Asked before it is placed for the first time.
    Whose = 11,
    /// A tool's wish.
    Wish = 12,
    /// The answer to it.
    Answer = 13,
}

/// A word about a tenant, from one dispatcher to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// See [`VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Who says it, by name.
    #[prost(string, tag = "2")]
    pub from: String,
    /// To whom: a dispatcher that took over an address must not answer for the one before it.
    #[prost(string, tag = "3")]
    pub to: String,
    /// About whom.
    #[prost(string, tag = "4")]
    pub tenant: String,
    /// What.
    #[prost(enumeration = "Kind", tag = "5")]
    pub kind: i32,
    /// Under which epoch.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
    /// With an offer: all that is held.
    #[prost(message, optional, tag = "7")]
    pub contents: Option<Contents>,
    /// The version of the sender's cell map.
    #[prost(uint64, tag = "8")]
    pub map: u64,
    /// A tool's wish.
    #[prost(message, optional, tag = "9")]
    pub wish: Option<Wish>,
    /// The answer to it.
    #[prost(message, optional, tag = "10")]
    pub answer: Option<Answer>,
    /// Why an offer cannot be taken.
    #[prost(string, tag = "11")]
    pub why: String,
}

/// Why bytes cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// A frame says that it is so long.
    TooLong(u64),
    /// A frame's length or what is in it is no protobuf.
    Garbled(String),
    /// It is of a version that is not spoken here.
    Version(u32),
    /// It says nothing that is known.
    Kind(i32),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::TooLong(n) => write!(f, "a frame of {n} bytes is over {FRAME_MOST}"),
            WireError::Garbled(why) => write!(f, "it cannot be read: {why}"),
            WireError::Version(v) => write!(f, "it is of version {v}, and {VERSION} is spoken here"),
            WireError::Kind(k) => write!(f, "what it says, {k}, is not known here"),
        }
    }
}

impl std::error::Error for WireError {}

/// Writes a word.
pub fn envelope(from: &str, to: &str, tenant: &str, map: u64, word: &Word<Contents>) -> Envelope {
    let (kind, epoch, contents) = match word {
        Word::Offer { epoch, contents } => (Kind::Offer, epoch, Some(contents.clone())),
        Word::Received { epoch } => (Kind::Received, epoch, None),
        Word::Commit { epoch } => (Kind::Commit, epoch, None),
        Word::Settled { epoch } => (Kind::Settled, epoch, None),
        Word::Cancel { epoch } => (Kind::Cancel, epoch, None),
        Word::Unknown { epoch } => (Kind::Unknown, epoch, None),
        Word::Stale { epoch } => (Kind::Stale, epoch, None),
        Word::Query { epoch } => (Kind::Query, epoch, None),
        Word::Claim { epoch } => (Kind::Claim, epoch, None),
    };
    Envelope {
        version: VERSION,
        from: from.into(),
        to: to.into(),
        tenant: tenant.into(),
        kind: kind as i32,
        epoch: *epoch,
        contents,
        map,
        ..Envelope::default()
    }
}

/// An envelope that is no word of the move.
pub fn plain(from: &str, to: &str, tenant: &str, map: u64, kind: Kind) -> Envelope {
    Envelope {
        version: VERSION,
        from: from.into(),
        to: to.into(),
        tenant: tenant.into(),
        kind: kind as i32,
        map,
        ..Envelope::default()
    }
}

impl Envelope {
    /// The word in it.
    ///
    /// # Errors
    ///
    /// Where it is of another version, or says nothing that is known.
    pub fn word(&self) -> Result<Word<Contents>, WireError> {
        if self.version != VERSION {
            return Err(WireError::Version(self.version));
        }
        let epoch = self.epoch;
        Ok(match Kind::try_from(self.kind) {
            Ok(Kind::Offer) => Word::Offer { epoch, contents: self.contents.clone().unwrap_or_default() },
            Ok(Kind::Received) => Word::Received { epoch },
            Ok(Kind::Commit) => Word::Commit { epoch },
            Ok(Kind::Settled) => Word::Settled { epoch },
            Ok(Kind::Cancel) => Word::Cancel { epoch },
            Ok(Kind::Unknown) => Word::Unknown { epoch },
            Ok(Kind::Stale) => Word::Stale { epoch },
            Ok(Kind::Query) => Word::Query { epoch },
            Ok(Kind::Claim) => Word::Claim { epoch },
            Ok(Kind::None | Kind::NoRoom | Kind::Whose | Kind::Wish | Kind::Answer) | Err(_) => {
                return Err(WireError::Kind(self.kind))
            }
        })
    }

    /// The frame of it.
    pub fn frame(&self) -> Vec<u8> {
        self.encode_length_delimited_to_vec()
    }
}

/// Takes bytes as they come, and gives envelopes.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
}

/// Bytes of the longest varint.
const VARINT_MOST: usize = 10;

impl Frames {
    /// More bytes have come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next envelope, once all of it is there.
    ///
    /// # Errors
    ///
    /// Where what came is no frame; then the connection is of no more use.
    pub fn take(&mut self) -> Result<Option<Envelope>, WireError> {
        let ends = self.bytes.iter().take(VARINT_MOST).position(|b| b & 0x80 == 0);
        let Some(at) = ends else {
            return match self.bytes.len() < VARINT_MOST {
                true => Ok(None),
                false => Err(WireError::Garbled("the length of a frame never ends".into())),
            };
        };
        let length = prost::encoding::decode_varint(&mut &self.bytes[..=at]);
        let length = length.map_err(|e| WireError::Garbled(e.to_string()))?;
        let size =
            usize::try_from(length).ok().filter(|n| *n <= FRAME_MOST).ok_or(WireError::TooLong(length))?;
        let Some(body) = self.bytes.get(at + 1..at + 1 + size) else { return Ok(None) };
        let envelope = Envelope::decode(body).map_err(|e| WireError::Garbled(e.to_string()))?;
        self.bytes.drain(..at + 1 + size);
        Ok(Some(envelope))
    }
}

/// A seat as it is written down; dispatchers are told apart by name.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SeatRecord {
    /// Whose.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Its epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Its phase: 0 away, 1 settled, 2 draining, 3 offered, 4 committed, 5 received.
    #[prost(uint32, tag = "3")]
    pub phase: u32,
    /// The other side; empty where there is none.
    #[prost(string, tag = "4")]
    pub other: String,
    /// What was received.
    #[prost(message, optional, tag = "5")]
    pub contents: Option<Contents>,
    /// The numbers of what was offered: it stands in the same journal.
    #[prost(uint64, repeated, tag = "6")]
    pub offered: Vec<u64>,
    /// It is settled once the messages that were received are written down under numbers from this one on.
    #[prost(uint64, optional, tag = "7")]
    pub adopts_from: Option<u64>,
    /// Keys that wait here for a message that ends where the tenant came from.
    #[prost(message, repeated, tag = "8")]
    pub parked: Vec<Parked>,
}

/// Writes a seat down; `name` tells the other side's.
pub fn record(tenant: &str, seat: &Seat<Contents>, name: impl Fn(u32) -> String) -> SeatRecord {
    let nos = |c: &Contents| c.held.iter().map(|h| h.no).collect();
    let (phase, other, contents, offered) = match &seat.phase {
        Phase::Away { at } => (0, *at, None, Vec::new()),
        Phase::Settled => (1, None, None, Vec::new()),
        Phase::Draining { to } => (2, Some(*to), None, Vec::new()),
        Phase::Offered { to, contents } => (3, Some(*to), None, nos(contents)),
        Phase::Committed { to, contents } => (4, Some(*to), None, nos(contents)),
        Phase::Received { from, contents } => (5, Some(*from), Some(contents.clone()), Vec::new()),
    };
    let other = other.map(name).unwrap_or_default();
    let tenant = tenant.into();
    SeatRecord { tenant, epoch: seat.epoch, phase, other, contents, offered, ..SeatRecord::default() }
}

impl SeatRecord {
    /// Moves all its times, in milliseconds since 1970: the wall clock was stepped since it was written.
    pub fn map_times(&mut self, time: impl Fn(u64) -> u64) {
        let parked = self.contents.iter_mut().flat_map(|c| &mut c.parked).chain(&mut self.parked);
        parked.for_each(|p| p.until = time(p.until));
        let Some(contents) = &mut self.contents else { return };
        contents.still_since = time(contents.still_since);
        contents.past.iter_mut().for_each(|p| p.until = time(p.until));
        for held in &mut contents.held {
            held.valid_until = time(held.valid_until);
            held.ran_at = held.ran_at.map(&time);
        }
    }

    /// The seat; `None` if this is no record of one. `node` tells a dispatcher's number, `offered` what stands under the
    /// numbers that were offered.
    pub fn seat(
        &self,
        mut node: impl FnMut(&str) -> u32,
        offered: impl FnOnce(&[u64]) -> Contents,
    ) -> Option<Seat<Contents>> {
        let other = Some(self.other.as_str()).filter(|o| !o.is_empty()).map(&mut node);
        let phase = match self.phase {
            0 => Phase::Away { at: other },
            1 => Phase::Settled,
            2 => Phase::Draining { to: other? },
            3 => Phase::Offered { to: other?, contents: offered(&self.offered) },
            4 => Phase::Committed { to: other?, contents: offered(&self.offered) },
            5 => Phase::Received { from: other?, contents: self.contents.clone()? },
            _ => return None,
        };
        Some(Seat { epoch: self.epoch, phase })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn contents() -> Contents {
        let held = |id: &str, ran| Held {
            id: id.into(),
            key: Some(7),
            body: vec![0, 255],
            ran_at: ran,
            ..Held::default()
        };
        Contents { held: vec![held("a", Some(5)), held("b", None)], ..Contents::default() }
    }

    fn words() -> Vec<Word<Contents>> {
        let epoch = 9;
        vec![
            Word::Offer { epoch, contents: contents() },
            Word::Offer { epoch, contents: Contents::default() },
            Word::Received { epoch },
            Word::Commit { epoch },
            Word::Settled { epoch },
            Word::Cancel { epoch },
            Word::Unknown { epoch },
            Word::Stale { epoch },
            Word::Query { epoch },
            Word::Claim { epoch },
        ]
    }

    /// Guards against a word that is lost or changed on the way, however the bytes are cut.
    #[test]
    fn words_come_through_in_pieces() {
        let all: Vec<Envelope> = words().iter().map(|w| envelope("n1", "n2", "sotrans", 3, w)).collect();
        let bytes: Vec<u8> = all.iter().flat_map(Envelope::frame).collect();
        for size in [1, 2, 3, 7, 64, bytes.len()] {
            let (mut frames, mut got) = (Frames::default(), Vec::new());
            for piece in bytes.chunks(size) {
                frames.push(piece);
                while let Some(e) = frames.take().unwrap() {
                    got.push(e);
                }
            }
            assert_eq!(got, all);
            let back: Vec<_> = got.iter().map(|e| e.word().unwrap()).collect();
            assert_eq!(back, words());
        }
    }

    #[test]
    fn strange_versions_kinds_and_lengths_are_errors() {
        let good = envelope("a", "b", "t", 1, &Word::Commit { epoch: 1 });
        assert_eq!(Envelope { version: 2, ..good.clone() }.word(), Err(WireError::Version(2)));
        assert_eq!(Envelope { kind: 99, ..good.clone() }.word(), Err(WireError::Kind(99)));
        assert_eq!(Envelope { kind: 0, ..good }.word(), Err(WireError::Kind(0)));
        let next = |bytes: &[u8]| {
            let mut frames = Frames::default();
            frames.push(bytes);
            frames.take()
        };
        assert_eq!(next(&[0xff, 0xff, 0xff, 0x7f]), Err(WireError::TooLong(0x0fff_ffff)));
        assert!(matches!(next(&[0xff; 12]), Err(WireError::Garbled(_))));
        assert!(matches!(next(&[2, 0xff, 0xff]), Err(WireError::Garbled(_))));
        assert_eq!(next(&[0x80]), Ok(None));
    }

    #[test]
    fn a_seat_is_read_back_as_it_was_written_down() {
        let phases = [
            Phase::Away { at: None },
            Phase::Away { at: Some(0) },
            Phase::Settled,
            Phase::Draining { to: 4 },
            Phase::Offered { to: 0, contents: contents() },
            Phase::Committed { to: 2, contents: Contents::default() },
            Phase::Received { from: 1, contents: contents() },
        ];
        for phase in phases {
            let seat = Seat { epoch: 12, phase };
            let bytes = record("t", &seat, |n| format!("n{n}")).encode_to_vec();
            let node = |name: &str| name[1..].parse().unwrap();
            // What was offered stands in the same journal, under its numbers.
            let offered = |nos: &[u64]| match nos.is_empty() {
                true => Contents::default(),
                false => contents(),
            };
            assert_eq!(SeatRecord::decode(&bytes[..]).unwrap().seat(node, offered), Some(seat));
        }
        let bad = SeatRecord { phase: 3, ..SeatRecord::default() };
        assert_eq!(bad.seat(|_| 0, |_| Contents::default()), None);
    }

    proptest! {
        /// Guards against a panic on whatever a stranger sends.
        #[test]
        fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), size in 1usize..40) {
            let mut frames = Frames::default();
            for piece in bytes.chunks(size) {
                frames.push(piece);
                loop {
                    match frames.take() {
                        Ok(Some(e)) => drop(e.word()),
                        Ok(None) => break,
                        Err(_) => return Ok(()),
                    }
                }
            }
        }
    }
}
