//! The wire format of peer messages about copies: protobuf by prost, in frames with a checksum.
//!
//! A frame consists of four bytes of length, four bytes of crc32c over the body, and the body, an
//! [`Envelope`]. A frame is rejected if its length exceeds the limit, its checksum is wrong, its version is
//! not supported, or it comes from another installation. Its connection is then closed, because the bytes
//! after it cannot be trusted to be a frame.

use crate::copies::{CopyEnding, Fence, MessageContent, MessageCopy, Stage};
use crate::owner::Repeatability;
use prost::Message as _;

/// The supported protocol version.
pub const VERSION: u32 = 1;
/// Size limit of a frame's body, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// A copy of a message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireCopy {
    /// See [`MessageCopy::id`].
    #[prost(string, tag = "1")]
    pub id: String,
    /// See [`MessageCopy::holders`].
    #[prost(string, repeated, tag = "2")]
    pub holders: Vec<String>,
    /// The fence's epoch.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// The fence's owner.
    #[prost(string, tag = "4")]
    pub owner: String,
    /// 0 taken, 1 started, 2 returned, 3 given up, 4 delivered.
    #[prost(uint32, tag = "5")]
    pub stage: u32,
    /// The delay before the client may submit a returned message again, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub retry_after_ms: u64,
    /// See [`MessageContent`].
    #[prost(string, tag = "7")]
    pub client: String,
    /// The class of the message.
    #[prost(string, tag = "8")]
    pub class: String,
    /// The tenant of the message.
    #[prost(string, tag = "9")]
    pub tenant: String,
    /// Its ordering key.
    #[prost(uint64, optional, tag = "10")]
    pub key: Option<u64>,
    /// Its idempotency key.
    #[prost(string, tag = "11")]
    pub idempotency_key: String,
    /// Its destination.
    #[prost(uint64, tag = "12")]
    pub destination: u64,
    /// The remaining time until its deadline, in milliseconds. [`WireCopy::from`] copies the absolute time.
    #[prost(uint64, tag = "13")]
    pub valid_until: u64,
    /// Its sequence number.
    #[prost(uint64, tag = "14")]
    pub number: u64,
    /// Where to send its final answer.
    #[prost(bytes = "vec", tag = "15")]
    pub reply_to: Vec<u8>,
    /// The message body.
    #[prost(bytes = "vec", tag = "16")]
    pub body: Vec<u8>,
    /// The dispatcher that accepted it.
    #[prost(string, tag = "17")]
    pub accepted_by: String,
    /// Whether it must not run twice (at-most-once).
    #[prost(bool, tag = "18")]
    pub at_most_once: bool,
    /// See [`MessageContent::arbiter_incarnation`].
    #[prost(fixed64, tag = "19")]
    pub arbiter_incarnation: u64,
    /// Whether only some endpoints drop its repeats (deduplicated). A release without this field takes the message
    /// for one that may be repeated.
    #[prost(bool, tag = "20")]
    pub deduplicated: bool,
}

/// The payload of a peer message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// A packet of the membership protocol.
    #[prost(bytes, tag = "10")]
    Swim(Vec<u8>),
    /// Asks the receiver to store a copy, or to merge the changes of one.
    #[prost(message, tag = "11")]
    Store(WireCopy),
    /// Acknowledges a stored copy with its state.
    #[prost(message, tag = "12")]
    Stored(CopyAck),
    /// Asks the arbiter whether the message may be started under the copy's fence.
    #[prost(message, tag = "13")]
    RequestGrant(WireCopy),
    /// The message may be started under the copy's fence.
    #[prost(message, tag = "14")]
    Grant(WireCopy),
    /// The message may not be started; the copy has the fence that the message belongs to.
    #[prost(message, tag = "15")]
    DenyGrant(WireCopy),
    /// Hashes of the children of a digest node.
    #[prost(message, tag = "16")]
    Hashes(Hashes),
    /// Requests the copies in these buckets.
    #[prost(message, tag = "17")]
    RequestBuckets(BucketRequest),
    /// An operator block was set or lifted.
    #[prost(message, tag = "18")]
    OperatorBlock(OperatorBlock),
    /// A heartbeat.
    #[prost(message, tag = "19")]
    Heartbeat(Heartbeat),
    /// The answer to a heartbeat, with the heartbeat's time.
    #[prost(uint64, tag = "20")]
    HeartbeatAck(u64),
    /// The children of a node that differ from the received hashes.
    #[prost(message, tag = "21")]
    DifferingChildren(DifferingChildren),
    /// The requested buckets have been sent.
    #[prost(message, tag = "22")]
    BucketsSent(BucketsSent),
    /// Asks what the receiver knows about the message with this id.
    #[prost(string, tag = "23")]
    Query(String),
    /// The answer to a query: a copy without its body, or one without an owner if the message is unknown.
    #[prost(message, tag = "24")]
    QueryAnswer(WireCopy),
    /// Health data of a destination.
    #[prost(message, tag = "25")]
    Health(Health),
    /// The copy with this id is not stored, because the receiver has no room for it; it knows nothing of the
    /// message and does not act on it.
    #[prost(string, tag = "26")]
    NotStored(String),
}

/// A heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// When it was sent, by the sender's clock.
    #[prost(uint64, tag = "1")]
    pub at: u64,
    /// The sender's own messages without a final answer.
    #[prost(uint64, tag = "2")]
    pub open: u64,
}

/// Health data of a destination, as the sender knows it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Health {
    /// The name of the destination.
    #[prost(string, tag = "1")]
    pub destination: String,
    /// Attempts per second that it answered recently.
    #[prost(double, tag = "2")]
    pub rate: f64,
    /// For how many milliseconds it has been unavailable, if it is.
    #[prost(uint64, optional, tag = "3")]
    pub away: Option<u64>,
    /// The age of this data in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age: u64,
}

/// Acknowledges a stored copy.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CopyAck {
    /// The message id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The fence's epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The number of the stage.
    #[prost(uint32, tag = "3")]
    pub stage: u32,
}

/// The children of a digest node that differ.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DifferingChildren {
    /// The node's level.
    #[prost(uint32, tag = "1")]
    pub level: u32,
    /// The children, by their index within their level.
    #[prost(uint32, repeated, tag = "2")]
    pub children: Vec<u32>,
}

/// Hashes of the children of a digest node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hashes {
    /// The node's level; 0 is the root.
    #[prost(uint32, tag = "1")]
    pub level: u32,
    /// The node's index within its level.
    #[prost(uint32, tag = "2")]
    pub at: u32,
    /// The children's hashes.
    #[prost(fixed64, repeated, tag = "3")]
    pub hashes: Vec<u64>,
}

/// Requests copies in buckets of the digest.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BucketRequest {
    /// The bucket numbers.
    #[prost(uint32, repeated, tag = "1")]
    pub at: Vec<u32>,
    /// Hashes of the entries that the sender already has.
    #[prost(fixed64, repeated, tag = "2")]
    pub have: Vec<u64>,
}

/// The requested buckets have been sent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BucketsSent {
    /// The number of buckets.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Hashes from the request whose entries the sender lacks and requests in turn.
    #[prost(fixed64, repeated, tag = "2")]
    pub lacks: Vec<u64>,
}

/// An operator block of an endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OperatorBlock {
    /// The endpoint's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Whether the endpoint is blocked (set down).
    #[prost(bool, tag = "2")]
    pub down: bool,
    /// The wall clock time of the timestamp, see [`crate::clock::Timestamp`].
    #[prost(uint64, tag = "3")]
    pub wall: u64,
    /// The counter of the timestamp.
    #[prost(uint32, tag = "4")]
    pub count: u32,
    /// The writer of the timestamp.
    #[prost(string, tag = "5")]
    pub writer: String,
}

/// The body of a frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The installation of the sender.
    #[prost(string, tag = "2")]
    pub installation: String,
    /// The name of the sender.
    #[prost(string, tag = "3")]
    pub from: String,
    /// The number that identifies the sender's incarnation, see [`crate::keeper::ReplicationConfig::incarnation_id`].
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// The payload.
    #[prost(oneof = "Payload", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26")]
    pub payload: Option<Payload>,
}

/// Why a frame is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// Its length exceeds [`MAX_FRAME_BYTES`].
    TooLong,
    /// Its checksum is wrong.
    ChecksumMismatch,
    /// Its body cannot be decoded.
    Undecodable,
    /// Its protocol version is not supported.
    UnsupportedVersion,
    /// It comes from another installation.
    WrongInstallation,
}

impl FrameError {
    /// The reason as text for the log.
    pub fn description(self) -> &'static str {
        match self {
            FrameError::TooLong => "frame exceeds the size limit",
            FrameError::ChecksumMismatch => "frame checksum mismatch",
            FrameError::Undecodable => "frame body cannot be decoded",
            FrameError::UnsupportedVersion => "unsupported protocol version",
            FrameError::WrongInstallation => "frame belongs to another installation",
        }
    }
}

impl Envelope {
    /// Encodes the envelope as a frame.
    pub fn to_frame(&self) -> Vec<u8> {
        let body = self.encode_to_vec();
        let mut bytes = Vec::with_capacity(body.len() + 8);
        bytes.extend((body.len() as u32).to_le_bytes());
        bytes.extend(crc32c::crc32c(&body).to_le_bytes());
        bytes.extend(body);
        bytes
    }
}

/// Splits received bytes into frames and decodes their envelopes.
#[derive(Debug, Clone, Default)]
pub struct FrameDecoder {
    bytes: Vec<u8>,
    /// Number of bytes at the start that belong to frames that were returned.
    consumed: usize,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.consumed));
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes of memory that the received bytes take.
    pub fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// The next envelope, if a whole frame has arrived.
    ///
    /// # Errors
    ///
    /// The reason to reject a frame; the connection must then be closed.
    pub fn next_envelope(&mut self, installation: &str) -> Result<Option<Envelope>, FrameError> {
        let Some((head, rest)) = self.bytes[self.consumed..].split_at_checked(8) else { return Ok(None) };
        let number = |b: &[u8]| b.iter().rev().fold(0u32, |n, x| n << 8 | u32::from(*x));
        let (len, sum) = (number(&head[..4]) as usize, number(&head[4..]));
        if len > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        let Some(body) = rest.get(..len) else { return Ok(None) };
        if crc32c::crc32c(body) != sum {
            return Err(FrameError::ChecksumMismatch);
        }
        let envelope = Envelope::decode(body).map_err(|_| FrameError::Undecodable)?;
        self.consumed += 8 + len;
        if envelope.version != VERSION {
            return Err(FrameError::UnsupportedVersion);
        }
        if envelope.installation != installation {
            return Err(FrameError::WrongInstallation);
        }
        Ok(Some(envelope))
    }
}

/// A stage's number on the wire, and the delay of a returned message in milliseconds.
pub fn stage_number(stage: Stage) -> (u32, u64) {
    match stage {
        Stage::Accepted => (0, 0),
        Stage::Started => (1, 0),
        Stage::Ended(CopyEnding::Returned(wait)) => (2, wait),
        Stage::Ended(CopyEnding::GivenUp) => (3, 0),
        Stage::Ended(CopyEnding::Delivered) => (4, 0),
    }
}

impl From<&MessageCopy> for WireCopy {
    fn from(c: &MessageCopy) -> WireCopy {
        let (stage, wait) = stage_number(c.stage);
        let m = c.content.clone();
        WireCopy {
            id: c.id.clone(),
            holders: c.holders.clone(),
            epoch: c.fence.epoch,
            owner: c.fence.owner.clone(),
            stage,
            retry_after_ms: wait,
            client: m.client,
            class: m.class,
            tenant: m.tenant,
            key: m.ordering_key,
            idempotency_key: m.idempotency_key,
            destination: m.destination,
            valid_until: m.valid_until,
            number: m.number,
            reply_to: m.reply_to,
            body: m.body,
            accepted_by: m.accepted_by,
            at_most_once: false,
            arbiter_incarnation: m.arbiter_incarnation,
            deduplicated: false,
        }
    }
}

impl WireCopy {
    /// Whether the message may be repeated.
    pub fn repeatability(&self) -> Repeatability {
        match (self.at_most_once, self.deduplicated) {
            (true, _) => Repeatability::AtMostOnce,
            (false, true) => Repeatability::Deduplicated,
            (false, false) => Repeatability::Repeatable,
        }
    }

    /// States whether the message may be repeated.
    pub fn set_repeatability(&mut self, kind: Repeatability) {
        self.at_most_once = kind == Repeatability::AtMostOnce;
        self.deduplicated = kind == Repeatability::Deduplicated;
    }

    /// Decodes the copy; `None` if its stage or id is invalid.
    pub fn read(self) -> Option<MessageCopy> {
        let stage = match self.stage {
            0 => Stage::Accepted,
            1 => Stage::Started,
            2 => Stage::Ended(CopyEnding::Returned(self.retry_after_ms)),
            3 => Stage::Ended(CopyEnding::GivenUp),
            4 => Stage::Ended(CopyEnding::Delivered),
            _ => return None,
        };
        let content = MessageContent {
            client: self.client,
            class: self.class,
            tenant: self.tenant,
            ordering_key: self.key,
            idempotency_key: self.idempotency_key,
            destination: self.destination,
            valid_until: self.valid_until,
            number: self.number,
            reply_to: self.reply_to,
            body: self.body,
            accepted_by: self.accepted_by,
            arbiter_incarnation: self.arbiter_incarnation,
        };
        let fence = Fence { epoch: self.epoch, owner: self.owner };
        (!self.id.is_empty()).then_some(MessageCopy {
            id: self.id,
            holders: self.holders,
            fence,
            stage,
            content,
        })
    }
}
