//! The journal's records and their encoding.
//!
//! A record is its length, its checksum and its body; the first byte of the body is the record's tag.

use crate::api::Ms;
use crate::timeline::ClockReading;
use lilacbank_limits::{CallRecord, CallStep};

/// Number of a message in the journal; it increases with each accepted message.
pub type MessageNo = u64;

/// Time and place of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptSent {
    /// Wall-clock time at which it was sent.
    pub at: Ms,
    /// Name of the endpoint's zone.
    pub zone: String,
}

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ending {
    /// An endpoint accepted it.
    Delivered,
    /// Given up, with no statement about its effect.
    GivenUp,
    /// Returned to the client: it never ran or may be repeated. The client may submit it again after this
    /// many milliseconds; 0 gives no time.
    Returned(Ms),
}

/// Identity of a message: the name of its client and the client's id for it.
pub type Identity = (String, String);

/// A message as its client submitted it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AcceptedMessage {
    /// The message's number.
    pub no: MessageNo,
    /// Client name and id; the platform's clients have an empty name.
    pub identity: Identity,
    /// Name of the class.
    pub class: String,
    /// Name of the tenant; may be empty.
    pub tenant: String,
    /// The ordering key.
    pub key: Option<u64>,
    /// The idempotency key, passed on to endpoints.
    pub idempotency_key: String,
    /// The destination.
    pub destination: u64,
    /// Deadline for delivery, in wall-clock time.
    pub valid_until: Ms,
    /// Where the final answer goes, in an encoding that only the message's front end reads.
    pub reply_to: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// Fingerprint by which a journal file is recognized. The file does not change once its process has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FileFingerprint {
    /// Length in bytes.
    pub length: u64,
    /// CRC-32 of the bytes.
    pub checksum: u32,
}

impl FileFingerprint {
    /// Fingerprint of a file with these bytes.
    pub fn of(bytes: &[u8]) -> FileFingerprint {
        FileFingerprint { length: bytes.len() as u64, checksum: crc32fast::hash(bytes) }
    }
}

/// One record.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A message was accepted.
    Accepted(AcceptedMessage),
    /// The state of a message's attempts from this record on.
    Attempts {
        /// Number of the message.
        no: MessageNo,
        /// Number of attempts begun.
        attempts: u32,
        /// The first attempt that may have run.
        may_have_run: Option<AttemptSent>,
        /// The attempt in progress.
        in_progress: Option<AttemptSent>,
    },
    /// The final answer of a message is decided, but its client may not have received it.
    FinalAnswer {
        /// Number of the message.
        no: MessageNo,
        /// How the message ended.
        ending: Ending,
    },
    /// Nothing is pending for a message any more; only its identity is remembered.
    Settled {
        /// Number of the message.
        no: MessageNo,
        /// Time until which the identity is remembered.
        until: Ms,
    },
    /// Calls that count against a destination's agreed limit.
    CallsCounted(CallRecord),
    /// An at-most-once message has ended and may have run.
    AtMostOnceEnded {
        /// Key under which it is remembered.
        name: String,
        /// How the message ended.
        ending: Ending,
        /// Time until which it is remembered.
        until: Ms,
        /// Its tenant, where tenants may move; else empty.
        tenant: String,
    },
    /// Identity and end of a message for which nothing is pending any more.
    RememberedIdentity {
        /// Identity of the message.
        identity: Identity,
        /// How the message ended.
        ending: Ending,
        /// Time until which it is remembered.
        until: Ms,
        /// Its tenant, where tenants may move; else empty.
        tenant: String,
    },
    /// The ownership record of a tenant, encoded by `lilacbank_cells::wire`.
    TenantOwnership(Vec<u8>),
    /// The machine's clocks at the start of the process that wrote the following records: see
    /// [`crate::timeline`].
    ClockReading(ClockReading),
    /// The records of the folder's other file, left by an ended process, precede this record. The file with
    /// this fingerprint may still exist and must not be read again.
    TakenOver(FileFingerprint),
    /// An endpoint asked for a wait (retry-after).
    RetryAfter {
        /// The endpoint's id in the endpoint list.
        endpoint: String,
        /// Time at which the wait ends.
        until: Ms,
    },
}

#[derive(Default)]
struct Encoder(Vec<u8>);

impl Encoder {
    fn u64(&mut self, n: u64) {
        self.0.extend_from_slice(&n.to_le_bytes());
    }
    fn ms(&mut self, t: Ms) {
        self.u64(t.to_bits());
    }
    fn bytes(&mut self, b: &[u8]) {
        self.u64(b.len() as u64);
        self.0.extend_from_slice(b);
    }
    fn sent(&mut self, s: &Option<AttemptSent>) {
        self.0.push(u8::from(s.is_some()));
        if let Some(s) = s {
            self.ms(s.at);
            self.bytes(s.zone.as_bytes());
        }
    }
    fn ending(&mut self, e: Ending) {
        let (code, wait) = match e {
            Ending::Delivered => (0, 0.0),
            Ending::GivenUp => (1, 0.0),
            Ending::Returned(wait) => (2, wait),
        };
        self.0.push(code);
        self.ms(wait);
    }
    /// An empty tenant is omitted; the record's tag tells whether there is one.
    fn tenant(&mut self, t: &str) {
        if !t.is_empty() {
            self.bytes(t.as_bytes());
        }
    }
    fn identity(&mut self, identity: &Identity) {
        self.bytes(identity.0.as_bytes());
        self.bytes(identity.1.as_bytes());
    }
}

struct Decoder<'a>(&'a [u8]);

impl<'a> Decoder<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, tail) = self.0.split_at_checked(n)?;
        self.0 = tail;
        Some(head)
    }
    fn u8(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }
    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }
    fn ms(&mut self) -> Option<Ms> {
        self.u64().map(f64::from_bits).filter(|t| t.is_finite())
    }
    fn bytes(&mut self) -> Option<Vec<u8>> {
        let n = usize::try_from(self.u64()?).ok()?;
        Some(self.take(n)?.to_vec())
    }
    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?).ok()
    }
    fn sent(&mut self) -> Option<Option<AttemptSent>> {
        Some(if self.u8()? == 0 { None } else { Some(AttemptSent { at: self.ms()?, zone: self.text()? }) })
    }
    fn ending(&mut self) -> Option<Ending> {
        let (code, wait) = (self.u8()?, self.ms()?);
        Some(match code {
            0 => Ending::Delivered,
            1 => Ending::GivenUp,
            2 => Ending::Returned(wait),
            _ => return None,
        })
    }
    fn identity(&mut self) -> Option<Identity> {
        Some((self.text()?, self.text()?))
    }
}

impl Record {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut enc = Encoder(vec![0; 8]);
        match self {
            Record::Accepted(t) => {
                enc.0.push(b'T');
                enc.u64(t.no);
                enc.identity(&t.identity);
                enc.bytes(t.class.as_bytes());
                enc.bytes(t.tenant.as_bytes());
                enc.0.push(u8::from(t.key.is_some()));
                enc.u64(t.key.unwrap_or(0));
                enc.bytes(t.idempotency_key.as_bytes());
                enc.u64(t.destination);
                enc.ms(t.valid_until);
                enc.bytes(&t.reply_to);
                enc.bytes(&t.body);
            }
            Record::Attempts { no, attempts, may_have_run: ran, in_progress: out } => {
                enc.0.push(b'S');
                enc.u64(*no);
                enc.u64(u64::from(*attempts));
                enc.sent(ran);
                enc.sent(out);
            }
            Record::FinalAnswer { no, ending } => {
                enc.0.push(b'E');
                enc.u64(*no);
                enc.ending(*ending);
            }
            Record::Settled { no, until } => {
                enc.0.push(b'O');
                enc.u64(*no);
                enc.ms(*until);
            }
            Record::CallsCounted(s) => {
                enc.0.push(b'P');
                enc.u64(s.destination);
                enc.bytes(s.endpoint.as_bytes());
                enc.ms(s.at);
                enc.u64(u64::from(s.calls));
                enc.0.push(match s.step {
                    CallStep::Started => 0,
                    CallStep::Written => 1,
                    CallStep::Cancelled => 2,
                });
            }
            Record::AtMostOnceEnded { name, ending, until, tenant } => {
                enc.0.push(if tenant.is_empty() { b'N' } else { b'n' });
                enc.bytes(name.as_bytes());
                enc.ending(*ending);
                enc.ms(*until);
                enc.tenant(tenant);
            }
            Record::RememberedIdentity { identity, ending, until, tenant } => {
                enc.0.push(if tenant.is_empty() { b'K' } else { b'k' });
                enc.identity(identity);
                enc.ending(*ending);
                enc.ms(*until);
                enc.tenant(tenant);
            }
            Record::TenantOwnership(bytes) => {
                enc.0.push(b'M');
                enc.bytes(bytes);
            }
            Record::ClockReading(reading) => {
                enc.0.push(b'C');
                enc.u64(reading.boot);
                enc.ms(reading.since_boot);
                enc.ms(reading.wall);
            }
            Record::TakenOver(mark) => {
                enc.0.push(b'A');
                enc.u64(mark.length);
                enc.u64(u64::from(mark.checksum));
            }
            Record::RetryAfter { endpoint: worker, until } => {
                enc.0.push(b'W');
                enc.bytes(worker.as_bytes());
                enc.ms(*until);
            }
        }
        let len = (enc.0.len() - 8) as u32;
        let sum = crc32fast::hash(&enc.0[8..]);
        enc.0[..4].copy_from_slice(&len.to_le_bytes());
        enc.0[4..8].copy_from_slice(&sum.to_le_bytes());
        enc.0
    }

    pub(super) fn decode(body: &[u8]) -> Option<Record> {
        let mut dec = Decoder(body);
        let record = match dec.u8()? {
            b'T' => Record::Accepted(AcceptedMessage {
                no: dec.u64()?,
                identity: dec.identity()?,
                class: dec.text()?,
                tenant: dec.text()?,
                key: match (dec.u8()?, dec.u64()?) {
                    (0, _) => None,
                    (_, k) => Some(k),
                },
                idempotency_key: dec.text()?,
                destination: dec.u64()?,
                valid_until: dec.ms()?,
                reply_to: dec.bytes()?,
                body: dec.bytes()?,
            }),
            b'S' => Record::Attempts {
                no: dec.u64()?,
                attempts: u32::try_from(dec.u64()?).ok()?,
                may_have_run: dec.sent()?,
                in_progress: dec.sent()?,
            },
            b'E' => Record::FinalAnswer { no: dec.u64()?, ending: dec.ending()? },
            b'O' => Record::Settled { no: dec.u64()?, until: dec.ms()? },
            b'P' => Record::CallsCounted(CallRecord {
                destination: dec.u64()?,
                endpoint: dec.text()?,
                at: dec.ms()?,
                calls: u32::try_from(dec.u64()?).ok()?,
                step: match dec.u8()? {
                    0 => CallStep::Started,
                    1 => CallStep::Written,
                    2 => CallStep::Cancelled,
                    _ => return None,
                },
            }),
            tag @ (b'N' | b'n') => Record::AtMostOnceEnded {
                name: dec.text()?,
                ending: dec.ending()?,
                until: dec.ms()?,
                tenant: if tag == b'n' { dec.text()? } else { String::new() },
            },
            tag @ (b'K' | b'k') => Record::RememberedIdentity {
                identity: dec.identity()?,
                ending: dec.ending()?,
                until: dec.ms()?,
                tenant: if tag == b'k' { dec.text()? } else { String::new() },
            },
            b'M' => Record::TenantOwnership(dec.bytes()?),
            b'C' => Record::ClockReading(ClockReading {
                boot: dec.u64()?,
                since_boot: dec.ms()?,
                wall: dec.ms()?,
            }),
            b'A' => Record::TakenOver(FileFingerprint {
                length: dec.u64()?,
                checksum: u32::try_from(dec.u64()?).ok()?,
            }),
            b'W' => Record::RetryAfter { endpoint: dec.text()?, until: dec.ms()? },
            _ => return None,
        };
        dec.0.is_empty().then_some(record)
    }

    /// Number of the message that the record is about.
    pub fn message_no(&self) -> Option<MessageNo> {
        match self {
            Record::Accepted(t) => Some(t.no),
            Record::Attempts { no, .. } | Record::FinalAnswer { no, .. } | Record::Settled { no, .. } => {
                Some(*no)
            }
            _ => None,
        }
    }

    /// Size of the encoded record in bytes.
    pub fn size(&self) -> u64 {
        self.encode().len() as u64
    }
}
