//! The wire format of peer messages about tenants, and the stored format of tenant ownership: protobuf, by
//! prost.
//!
//! On a connection each peer message is a frame: its length as a protobuf varint, then an [`Envelope`].
//! [`FrameDecoder`] splits received bytes into envelopes; it does no I/O. Unknown fields are skipped. An envelope
//! of an unsupported version is an error, because the fields that this version lacks may be essential.

use crate::moving::{HandoffMessage, Phase, TenantOwnership};
use prost::Message as _;
use std::fmt;

/// The supported protocol version.
pub const VERSION: u32 = 1;
/// Size limit of an envelope, in bytes: all messages of a tenant fit, and invalid input cannot exhaust the
/// memory.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// A message that is handed over, with everything that the delivery rules need to know about its past.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct HandedOverMessage {
    /// The client that submitted it; empty for the platform's clients.
    #[prost(string, tag = "1")]
    pub client: String,
    /// The id under which it was submitted.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The name of its class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Its ordering key.
    #[prost(uint64, optional, tag = "4")]
    pub key: Option<u64>,
    /// Its idempotency key.
    #[prost(string, tag = "5")]
    pub idempotency_key: String,
    /// Its destination.
    #[prost(uint64, tag = "6")]
    pub destination: u64,
    /// Its deadline, in milliseconds since 1970.
    #[prost(uint64, tag = "7")]
    pub valid_until: u64,
    /// Where to send its final answer; only its front end interprets this.
    #[prost(bytes = "vec", tag = "8")]
    pub reply_to: Vec<u8>,
    /// The message body.
    #[prost(bytes = "vec", tag = "9")]
    pub body: Vec<u8>,
    /// Number of attempts that were started.
    #[prost(uint32, tag = "10")]
    pub attempts: u32,
    /// When the first attempt that may have run was sent, in milliseconds since 1970.
    #[prost(uint64, optional, tag = "11")]
    pub first_attempt_at: Option<u64>,
    /// The zone in which that attempt may have run; a repeat goes nowhere else.
    #[prost(string, tag = "12")]
    pub first_attempt_zone: String,
    /// Its sequence number at the former owner.
    #[prost(uint64, tag = "13")]
    pub number: u64,
}

/// An ordering key whose messages wait, because one of them may still run at the former owner.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct QuietKey {
    /// The ordering key.
    #[prost(uint64, tag = "1")]
    pub key: u64,
    /// The end of the wait, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub until: u64,
}

/// A message that has ended, or that ends at the former owner: when submitted again, it does not count as a
/// new one.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct EndedMessage {
    /// The client that submitted it.
    #[prost(string, tag = "1")]
    pub client: String,
    /// The id under which it was submitted; if `name` is set, the name under which an at-most-once class
    /// remembers it.
    #[prost(string, tag = "2")]
    pub id: String,
    /// Whether `id` is such a name.
    #[prost(bool, tag = "3")]
    pub id_is_remembered_name: bool,
    /// How it ended: 0 delivered, 1 given up, 2 returned.
    #[prost(uint32, tag = "4")]
    pub final_answer: u32,
    /// The delay after which a returned message may be submitted again, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
    /// Until when it is remembered, in milliseconds since 1970.
    #[prost(uint64, tag = "6")]
    pub remembered_until: u64,
}

/// Everything that is held and known of a tenant.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct TenantContents {
    /// The messages, in the order in which they were accepted.
    #[prost(message, repeated, tag = "1")]
    pub messages: Vec<HandedOverMessage>,
    /// Ordering keys that wait.
    #[prost(message, repeated, tag = "2")]
    pub quiet_keys: Vec<QuietKey>,
    /// Messages that have ended.
    #[prost(message, repeated, tag = "3")]
    pub ended: Vec<EndedMessage>,
    /// Since when delivery is suspended, in milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub suspended_since: u64,
}

/// A request of the operators' tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ToolRequestKind {
    /// No request; never sent.
    None = 0,
    /// Report the ownership of one tenant, or of all.
    Status = 1,
    /// Move the tenant.
    Move = 2,
    /// Abort the move.
    Abort = 3,
    /// Take back a tenant that was handed over to a dispatcher that never starts again.
    Reclaim = 4,
}

/// A request of the operators' tool, with its arguments.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ToolRequest {
    /// The request.
    #[prost(enumeration = "ToolRequestKind", tag = "1")]
    pub kind: i32,
    /// For a move: the receiver.
    #[prost(string, tag = "2")]
    pub to: String,
}

/// The ownership state of a tenant, for display.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OwnershipReport {
    /// The tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// The phase, by name.
    #[prost(string, tag = "2")]
    pub phase: String,
    /// The dispatcher on the other side; may be empty.
    #[prost(string, tag = "3")]
    pub peer: String,
    /// The epoch.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Messages held here.
    #[prost(uint64, tag = "5")]
    pub held: u64,
    /// The held messages whose delivery is suspended.
    #[prost(uint64, tag = "6")]
    pub suspended: u64,
    /// For how long this phase has lasted, in milliseconds, at most since the start of the process.
    #[prost(uint64, tag = "7")]
    pub phase_ms: u64,
    /// For how long messages were suspended in the last move that ended here, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub last_suspension_ms: u64,
}

/// The answer to a request of the operators' tool.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ToolAnswer {
    /// Why the request is rejected; empty if it is met.
    #[prost(string, tag = "1")]
    pub rejected: String,
    /// The requested ownership states.
    #[prost(message, repeated, tag = "2")]
    pub ownerships: Vec<OwnershipReport>,
}

/// The kind of an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum MessageKind {
    /// No kind; never sent.
    None = 0,
    /// See [`HandoffMessage::Offer`].
    Offer = 1,
    /// See [`HandoffMessage::OfferRecorded`].
    Received = 2,
    /// See [`HandoffMessage::Commit`].
    Commit = 3,
    /// See [`HandoffMessage::CommitAcknowledged`].
    Settled = 4,
    /// See [`HandoffMessage::Withdraw`].
    Cancel = 5,
    /// See [`HandoffMessage::UnknownOffer`].
    Unknown = 6,
    /// See [`HandoffMessage::StaleEpoch`].
    Stale = 7,
    /// See [`HandoffMessage::Query`].
    Query = 8,
    /// See [`HandoffMessage::Claim`].
    Claim = 9,
    /// The offer cannot be accepted: there is no room for it, or it has names that are unknown to the sender.
    NoRoom = 10,
    /// Asks whether a dispatcher serves this tenant, before it is placed for the first time.
    OwnerQuery = 11,
    /// A request of the operators' tool.
    ToolRequest = 12,
    /// The answer to such a request.
    ToolAnswer = 13,
}

/// A peer message about a tenant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// See [`VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The name of the sender.
    #[prost(string, tag = "2")]
    pub from: String,
    /// The name of the receiver: a dispatcher that took over an address must not answer for the one before
    /// it.
    #[prost(string, tag = "3")]
    pub to: String,
    /// The tenant.
    #[prost(string, tag = "4")]
    pub tenant: String,
    /// The kind of the message.
    #[prost(enumeration = "MessageKind", tag = "5")]
    pub kind: i32,
    /// The epoch.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
    /// The contents of the tenant, in an offer.
    #[prost(message, optional, tag = "7")]
    pub contents: Option<TenantContents>,
    /// The version of the sender's cell map.
    #[prost(uint64, tag = "8")]
    pub map_version: u64,
    /// The request of the operators' tool.
    #[prost(message, optional, tag = "9")]
    pub tool_request: Option<ToolRequest>,
    /// The answer to it.
    #[prost(message, optional, tag = "10")]
    pub answer: Option<ToolAnswer>,
    /// Why an offer cannot be accepted.
    #[prost(string, tag = "11")]
    pub reason: String,
}

/// Why received bytes cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// A frame declares this length, which exceeds [`MAX_FRAME_BYTES`].
    TooLong(u64),
    /// The length or the body of a frame is not valid protobuf.
    Malformed(String),
    /// This version is not supported.
    Version(u32),
    /// This kind is unknown, or has no move message.
    UnknownKind(i32),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::TooLong(n) => {
                write!(f, "frame of {n} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
            }
            WireError::Malformed(why) => write!(f, "frame cannot be decoded: {why}"),
            WireError::Version(v) => {
                write!(f, "unsupported protocol version {v}; this dispatcher supports version {VERSION}")
            }
            WireError::UnknownKind(k) => write!(f, "unknown message kind {k}"),
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes a message of the move protocol.
pub fn handoff_envelope(
    from: &str,
    to: &str,
    tenant: &str,
    map: u64,
    message: &HandoffMessage<TenantContents>,
) -> Envelope {
    let (kind, epoch, contents) = match message {
        HandoffMessage::Offer { epoch, contents } => (MessageKind::Offer, epoch, Some(contents.clone())),
        HandoffMessage::OfferRecorded { epoch } => (MessageKind::Received, epoch, None),
        HandoffMessage::Commit { epoch } => (MessageKind::Commit, epoch, None),
        HandoffMessage::CommitAcknowledged { epoch } => (MessageKind::Settled, epoch, None),
        HandoffMessage::Withdraw { epoch } => (MessageKind::Cancel, epoch, None),
        HandoffMessage::UnknownOffer { epoch } => (MessageKind::Unknown, epoch, None),
        HandoffMessage::StaleEpoch { epoch } => (MessageKind::Stale, epoch, None),
        HandoffMessage::Query { epoch } => (MessageKind::Query, epoch, None),
        HandoffMessage::Claim { epoch } => (MessageKind::Claim, epoch, None),
    };
    Envelope {
        version: VERSION,
        from: from.into(),
        to: to.into(),
        tenant: tenant.into(),
        kind: kind as i32,
        epoch: *epoch,
        contents,
        map_version: map,
        ..Envelope::default()
    }
}

/// Creates an envelope that is not a message of the move protocol.
pub fn envelope_of_kind(from: &str, to: &str, tenant: &str, map: u64, kind: MessageKind) -> Envelope {
    Envelope {
        version: VERSION,
        from: from.into(),
        to: to.into(),
        tenant: tenant.into(),
        kind: kind as i32,
        map_version: map,
        ..Envelope::default()
    }
}

impl Envelope {
    /// The message of the move protocol in the envelope.
    ///
    /// # Errors
    ///
    /// If the version is not supported, or the envelope holds no message of the move protocol.
    pub fn handoff_message(&self) -> Result<HandoffMessage<TenantContents>, WireError> {
        if self.version != VERSION {
            return Err(WireError::Version(self.version));
        }
        let epoch = self.epoch;
        Ok(match MessageKind::try_from(self.kind) {
            Ok(MessageKind::Offer) => {
                HandoffMessage::Offer { epoch, contents: self.contents.clone().unwrap_or_default() }
            }
            Ok(MessageKind::Received) => HandoffMessage::OfferRecorded { epoch },
            Ok(MessageKind::Commit) => HandoffMessage::Commit { epoch },
            Ok(MessageKind::Settled) => HandoffMessage::CommitAcknowledged { epoch },
            Ok(MessageKind::Cancel) => HandoffMessage::Withdraw { epoch },
            Ok(MessageKind::Unknown) => HandoffMessage::UnknownOffer { epoch },
            Ok(MessageKind::Stale) => HandoffMessage::StaleEpoch { epoch },
            Ok(MessageKind::Query) => HandoffMessage::Query { epoch },
            Ok(MessageKind::Claim) => HandoffMessage::Claim { epoch },
            Ok(
                MessageKind::None
                | MessageKind::NoRoom
                | MessageKind::OwnerQuery
                | MessageKind::ToolRequest
                | MessageKind::ToolAnswer,
            )
            | Err(_) => return Err(WireError::UnknownKind(self.kind)),
        })
    }

    /// Encodes the envelope as a frame.
    pub fn frame(&self) -> Vec<u8> {
        self.encode_length_delimited_to_vec()
    }
}

/// Splits received bytes into frames and decodes their envelopes.
#[derive(Debug, Clone, Default)]
pub struct FrameDecoder {
    bytes: Vec<u8>,
    /// Number of bytes at the start that belong to frames that were returned.
    consumed: usize,
}

/// Length of the longest varint, in bytes.
const MAX_VARINT_BYTES: usize = 10;

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
    /// If the bytes are not a valid frame, or one of an unsupported version; the connection must then be closed.
    pub fn next_envelope(&mut self) -> Result<Option<Envelope>, WireError> {
        let bytes = &self.bytes[self.consumed..];
        let length_end = bytes.iter().take(MAX_VARINT_BYTES).position(|b| b & 0x80 == 0);
        let Some(at) = length_end else {
            return match bytes.len() < MAX_VARINT_BYTES {
                true => Ok(None),
                false => Err(WireError::Malformed("the frame length is not a valid varint".into())),
            };
        };
        let length = prost::encoding::decode_varint(&mut &bytes[..=at]);
        let length = length.map_err(|e| WireError::Malformed(e.to_string()))?;
        let size = usize::try_from(length)
            .ok()
            .filter(|n| *n <= MAX_FRAME_BYTES)
            .ok_or(WireError::TooLong(length))?;
        let Some(body) = bytes.get(at + 1..at + 1 + size) else { return Ok(None) };
        let envelope = Envelope::decode(body).map_err(|e| WireError::Malformed(e.to_string()))?;
        if envelope.version != VERSION {
            return Err(WireError::Version(envelope.version));
        }
        self.consumed += at + 1 + size;
        Ok(Some(envelope))
    }
}

/// The stored form of a tenant's ownership state; dispatchers are identified by name.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OwnershipRecord {
    /// The tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// The epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The phase: 0 away, 1 settled, 2 draining, 3 offered, 4 committed, 5 received.
    #[prost(uint32, tag = "3")]
    pub phase: u32,
    /// The dispatcher on the other side; empty if there is none.
    #[prost(string, tag = "4")]
    pub peer: String,
    /// The contents of a received offer.
    #[prost(message, optional, tag = "5")]
    pub contents: Option<TenantContents>,
    /// Sequence numbers of the offered messages, which are in the same journal.
    #[prost(uint64, repeated, tag = "6")]
    pub offered_numbers: Vec<u64>,
    /// The state is settled only once the received messages are recorded, under sequence numbers from this
    /// one on.
    #[prost(uint64, optional, tag = "7")]
    pub adopts_from: Option<u64>,
    /// Ordering keys that wait here for a message that ends at the former owner.
    #[prost(message, repeated, tag = "8")]
    pub quiet_keys: Vec<QuietKey>,
}

/// Converts an ownership state to its stored form; `name` returns the name of a dispatcher.
pub fn to_record(
    tenant: &str,
    state: &TenantOwnership<TenantContents>,
    name: impl Fn(u32) -> String,
) -> OwnershipRecord {
    let sequence_numbers = |c: &TenantContents| c.messages.iter().map(|h| h.number).collect();
    let (phase, other, contents, offered) = match &state.phase {
        Phase::OwnedElsewhere { at } => (0, *at, None, Vec::new()),
        Phase::Owned => (1, None, None, Vec::new()),
        Phase::Draining { to } => (2, Some(*to), None, Vec::new()),
        Phase::Offered { to, contents } => (3, Some(*to), None, sequence_numbers(contents)),
        Phase::Committed { to, contents } => (4, Some(*to), None, sequence_numbers(contents)),
        Phase::Received { from, contents } => (5, Some(*from), Some(contents.clone()), Vec::new()),
    };
    let other = other.map(name).unwrap_or_default();
    let tenant = tenant.into();
    OwnershipRecord {
        tenant,
        epoch: state.epoch,
        phase,
        peer: other,
        contents,
        offered_numbers: offered,
        ..OwnershipRecord::default()
    }
}

impl OwnershipRecord {
    /// Converts all times in the record after a step of the wall clock; `time` maps milliseconds since 1970.
    pub fn map_times(&mut self, time: impl Fn(u64) -> u64) {
        let parked = self.contents.iter_mut().flat_map(|c| &mut c.quiet_keys).chain(&mut self.quiet_keys);
        parked.for_each(|p| p.until = time(p.until));
        let Some(contents) = &mut self.contents else { return };
        contents.suspended_since = time(contents.suspended_since);
        contents.ended.iter_mut().for_each(|p| p.remembered_until = time(p.remembered_until));
        for held in &mut contents.messages {
            held.valid_until = time(held.valid_until);
            held.first_attempt_at = held.first_attempt_at.map(&time);
        }
    }

    /// Restores the ownership state; `None` if the record is invalid. `node` returns the number of a
    /// dispatcher, and `offered` the messages that are recorded under the offered sequence numbers.
    pub fn to_ownership(
        &self,
        mut node: impl FnMut(&str) -> u32,
        offered: impl FnOnce(&[u64]) -> TenantContents,
    ) -> Option<TenantOwnership<TenantContents>> {
        let other = Some(self.peer.as_str()).filter(|o| !o.is_empty()).map(&mut node);
        let phase = match self.phase {
            0 => Phase::OwnedElsewhere { at: other },
            1 => Phase::Owned,
            2 => Phase::Draining { to: other? },
            3 => Phase::Offered { to: other?, contents: offered(&self.offered_numbers) },
            4 => Phase::Committed { to: other?, contents: offered(&self.offered_numbers) },
            5 => Phase::Received { from: other?, contents: self.contents.clone()? },
            _ => return None,
        };
        Some(TenantOwnership { epoch: self.epoch, phase })
    }
}

#[cfg(test)]
mod tests;
