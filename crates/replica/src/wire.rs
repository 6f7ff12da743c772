//! How dispatchers write to each other about copies: protobuf by prost, in frames with a checksum.
//!
//! A frame is four bytes of length, four of crc32c over the body, and the body, an [`Envelope`]. One whose length is beyond
//! the bound, whose checksum is wrong, whose version is not spoken or that comes from another installation is refused, and
//! its connection is closed: what stands behind it cannot be trusted to be a frame.

use crate::copies::{Content, Copy, End, Fence, Stage};
use prost::Message as _;

/// The version that is spoken here.
pub const VERSION: u32 = 1;
/// Bytes of a frame's body at most.
pub const FRAME_MOST: usize = 1 << 20;

/// A copy.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireCopy {
    /// See [`Copy::id`].
    #[prost(string, tag = "1")]
    pub id: String,
    /// See [`Copy::holders`].
    #[prost(string, repeated, tag = "2")]
    pub holders: Vec<String>,
    /// The fence's epoch.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// The fence's owner.
    #[prost(string, tag = "4")]
    pub owner: String,
    /// 0 taken, 1 started, 2 handed back, 3 given up, 4 delivered.
    #[prost(uint32, tag = "5")]
    pub stage: u32,
    /// The wait that was told, of one handed back.
    #[prost(uint64, tag = "6")]
    pub wait: u64,
    /// See [`Content`].
    #[prost(string, tag = "7")]
    pub client: String,
    /// Its class.
    #[prost(string, tag = "8")]
    pub class: String,
    /// Its tenant.
    #[prost(string, tag = "9")]
    pub tenant: String,
    /// Its key.
    #[prost(uint64, optional, tag = "10")]
    pub key: Option<u64>,
    /// Its idempotency key.
    #[prost(string, tag = "11")]
    pub idempotency: String,
    /// Its destination.
    #[prost(uint64, tag = "12")]
    pub dest: u64,
    /// Until when it is valid.
    #[prost(uint64, tag = "13")]
    pub valid_until: u64,
    /// Its number.
    #[prost(uint64, tag = "14")]
    pub no: u64,
    /// Where its answer goes.
    #[prost(bytes = "vec", tag = "15")]
    pub reply: Vec<u8>,
    /// The body.
    #[prost(bytes = "vec", tag = "16")]
    pub body: Vec<u8>,
    /// Who took it on.
    #[prost(string, tag = "17")]
    pub taker: String,
    /// It must not run twice.
    #[prost(bool, tag = "18")]
    pub once: bool,
    /// See [`Content::arbiter_born`].
    #[prost(fixed64, tag = "19")]
    pub arbiter_born: u64,
}

/// What is said. The number of each is its place on the wire.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Say {
    /// A packet of the membership protocol.
    #[prost(bytes, tag = "10")]
    Swim(Vec<u8>),
    /// Hold this, or take in what has changed of it.
    #[prost(message, tag = "11")]
    Hold(WireCopy),
    /// It is held as it was said.
    #[prost(message, tag = "12")]
    Held(HeldAt),
    /// May it be started under the copy's fence?
    #[prost(message, tag = "13")]
    Ask(WireCopy),
    /// It may, under the copy's fence.
    #[prost(message, tag = "14")]
    Grant(WireCopy),
    /// It may not; the copy has the fence that it belongs to.
    #[prost(message, tag = "15")]
    Refuse(WireCopy),
    /// Hashes of a node's children.
    #[prost(message, tag = "16")]
    Hashes(Hashes),
    /// Send what you hold in these buckets.
    #[prost(message, tag = "17")]
    Want(Buckets),
    /// An endpoint was set down or up.
    #[prost(message, tag = "18")]
    Ban(Ban),
    /// The writer is there.
    #[prost(message, tag = "19")]
    Beat(Beat),
    /// That was heard.
    #[prost(uint64, tag = "20")]
    Beaten(u64),
    /// Children of a node that differ from the hashes that were said.
    #[prost(message, tag = "21")]
    Differ(Differ),
    /// What was asked for is sent.
    #[prost(message, tag = "22")]
    Done(Done),
    /// What is known of the message of this id?
    #[prost(string, tag = "23")]
    Query(String),
    /// This, without a body; a copy without an owner: nothing.
    #[prost(message, tag = "24")]
    Known(WireCopy),
    /// What was learnt of a member.
    #[prost(message, tag = "25")]
    Health(Health),
}

/// The word that its writer is there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Beat {
    /// When it was said, by its writer's clock.
    #[prost(uint64, tag = "1")]
    pub at: u64,
    /// Messages of its own that have no final answer yet.
    #[prost(uint64, tag = "2")]
    pub open: u64,
}

/// What its writer has learnt of a member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Health {
    /// The member.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Calls a second that it answered of late.
    #[prost(double, tag = "2")]
    pub rate: f64,
    /// For how many milliseconds it has been away, if it is.
    #[prost(uint64, optional, tag = "3")]
    pub away: Option<u64>,
    /// How old that evidence is, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age: u64,
}

/// A copy is held at this fence and stage.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeldAt {
    /// The message.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The fence's epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The stage's number.
    #[prost(uint32, tag = "3")]
    pub stage: u32,
}

/// Which children of a node differ.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Differ {
    /// The node's level.
    #[prost(uint32, tag = "1")]
    pub level: u32,
    /// The children, counted over their level.
    #[prost(uint32, repeated, tag = "2")]
    pub children: Vec<u32>,
}

/// Hashes of the children of a node of the digest.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hashes {
    /// The node's level; 0 is the root.
    #[prost(uint32, tag = "1")]
    pub level: u32,
    /// Which node of the level.
    #[prost(uint32, tag = "2")]
    pub at: u32,
    /// Its children's hashes.
    #[prost(fixed64, repeated, tag = "3")]
    pub hashes: Vec<u64>,
}

/// Buckets of the digest.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Buckets {
    /// Their numbers.
    #[prost(uint32, repeated, tag = "1")]
    pub at: Vec<u32>,
    /// Hashes of the entries that are there already.
    #[prost(fixed64, repeated, tag = "2")]
    pub have: Vec<u64>,
}

/// What was asked for is sent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Done {
    /// How many buckets.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Of the hashes that came with the question, those whose entries are wanted in turn.
    #[prost(fixed64, repeated, tag = "2")]
    pub lacks: Vec<u64>,
}

/// An operator's wish.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ban {
    /// The endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// It is out.
    #[prost(bool, tag = "2")]
    pub down: bool,
    /// The wish's stamp: wall clock,
    #[prost(uint64, tag = "3")]
    pub wall: u64,
    /// count,
    #[prost(uint32, tag = "4")]
    pub count: u32,
    /// and writer.
    #[prost(string, tag = "5")]
    pub writer: String,
}

/// A frame's body.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The version that its writer speaks.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The installation that it belongs to.
    #[prost(string, tag = "2")]
    pub installation: String,
    /// Who says it.
    #[prost(string, tag = "3")]
    pub from: String,
    /// In which of its lives.
    #[prost(uint64, tag = "4")]
    pub life: u64,
    /// What.
    #[prost(oneof = "Say", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25")]
    pub say: Option<Say>,
}

/// Why a frame is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Its length is beyond [`FRAME_MOST`].
    TooLong,
    /// Its checksum is wrong.
    Damaged,
    /// Its body does not read.
    Unreadable,
    /// Its version is not spoken here.
    Version,
    /// It is from another installation.
    Foreign,
}

impl Refused {
    /// For the log.
    pub fn text(self) -> &'static str {
        match self {
            Refused::TooLong => "its frame is too long",
            Refused::Damaged => "its frame is damaged",
            Refused::Unreadable => "its frame does not read",
            Refused::Version => "it speaks another version",
            Refused::Foreign => "it is of another installation",
        }
    }
}

impl Envelope {
    /// The frame's bytes.
    pub fn frame(&self) -> Vec<u8> {
        let body = self.encode_to_vec();
        let mut bytes = Vec::with_capacity(body.len() + 8);
        bytes.extend((body.len() as u32).to_le_bytes());
        bytes.extend(crc32c::crc32c(&body).to_le_bytes());
        bytes.extend(body);
        bytes
    }
}

/// Takes bytes as they come and gives envelopes.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
}

impl Frames {
    /// More bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next envelope of this installation, if it is whole.
    ///
    /// # Errors
    ///
    /// Why the frame is refused; nothing more is to be read of the connection.
    pub fn take(&mut self, installation: &str) -> Result<Option<Envelope>, Refused> {
        let Some((head, rest)) = self.bytes.split_at_checked(8) else { return Ok(None) };
        let number = |b: &[u8]| b.iter().rev().fold(0u32, |n, x| n << 8 | u32::from(*x));
        let (len, sum) = (number(&head[..4]) as usize, number(&head[4..]));
        if len > FRAME_MOST {
            return Err(Refused::TooLong);
        }
        let Some(body) = rest.get(..len) else { return Ok(None) };
        if crc32c::crc32c(body) != sum {
            return Err(Refused::Damaged);
        }
        let envelope = Envelope::decode(body).map_err(|_| Refused::Unreadable)?;
        self.bytes.drain(..8 + len);
        if envelope.version != VERSION {
            return Err(Refused::Version);
        }
        if envelope.installation != installation {
            return Err(Refused::Foreign);
        }
        Ok(Some(envelope))
    }
}

/// A stage's number on the wire, and the wait of one handed back.
pub fn stage_number(stage: Stage) -> (u32, u64) {
    match stage {
        Stage::Taken => (0, 0),
        Stage::Started => (1, 0),
        Stage::Ended(End::HandedBack(wait)) => (2, wait),
        Stage::Ended(End::GivenUp) => (3, 0),
        Stage::Ended(End::Delivered) => (4, 0),
    }
}

impl From<&Copy> for WireCopy {
    fn from(c: &Copy) -> WireCopy {
        let (stage, wait) = stage_number(c.stage);
        let m = c.content.clone();
        WireCopy {
            id: c.id.clone(),
            holders: c.holders.clone(),
            epoch: c.fence.epoch,
            owner: c.fence.owner.clone(),
            stage,
            wait,
            client: m.client,
            class: m.class,
            tenant: m.tenant,
            key: m.key,
            idempotency: m.idempotency,
            dest: m.dest,
            valid_until: m.valid_until,
            no: m.no,
            reply: m.reply,
            body: m.body,
            taker: m.taker,
            once: false,
            arbiter_born: m.arbiter_born,
        }
    }
}

impl WireCopy {
    /// The copy; None where its stage is none.
    pub fn read(self) -> Option<Copy> {
        let stage = match self.stage {
            0 => Stage::Taken,
            1 => Stage::Started,
            2 => Stage::Ended(End::HandedBack(self.wait)),
            3 => Stage::Ended(End::GivenUp),
            4 => Stage::Ended(End::Delivered),
            _ => return None,
        };
        let content = Content {
            client: self.client,
            class: self.class,
            tenant: self.tenant,
            key: self.key,
            idempotency: self.idempotency,
            dest: self.dest,
            valid_until: self.valid_until,
            no: self.no,
            reply: self.reply,
            body: self.body,
            taker: self.taker,
            arbiter_born: self.arbiter_born,
        };
        let fence = Fence { epoch: self.epoch, owner: self.owner };
        (!self.id.is_empty()).then_some(Copy { id: self.id, holders: self.holders, fence, stage, content })
    }
}
