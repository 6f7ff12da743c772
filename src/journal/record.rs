//! The journal's records and their form in the file.
//!
//! A record is its length, its checksum and its body; the body's first byte says which record it is.

use crate::api::Ms;
use crate::timeline::Reading;
use lilacbank_limits::{Spent, Step};

/// Number of a call in the journal; grows with each call taken.
pub type CallNo = u64;

/// Where and when a delegation was sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent {
    /// Wall-clock time.
    pub at: Ms,
    /// The worker's zone, by name.
    pub zone: String,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ending {
    /// A worker took it.
    Delivered,
    /// Given up, with no promise about its effect.
    GivenUp,
    /// Never ran, or may be repeated: the client may come again after so many milliseconds; 0 tells nothing.
    HandedBack(Ms),
}

/// What a call is known by: who handed it in, and under which id.
pub type Identity = (String, String);

/// A call as it was handed in.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Taken {
    /// Its number.
    pub no: CallNo,
    /// Who handed it in and under which id; the platform's clients have no name.
    pub identity: Identity,
    /// Class, by name.
    pub class: String,
    /// Tenant, by name; may be empty.
    pub tenant: String,
    /// The key of its order.
    pub key: Option<u64>,
    /// Passed on to workers.
    pub idempotency: String,
    /// Its destination.
    pub dest: u64,
    /// It may be delivered until then, by the wall clock.
    pub valid_until: Ms,
    /// Where its final answer goes; only its front reads this.
    pub reply: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// By which a file of records is known again: it does not change once its process has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FileMark {
    /// Its bytes.
    pub length: u64,
    /// Their checksum.
    pub checksum: u32,
}

impl FileMark {
    /// Of a file with these bytes.
    pub fn of(bytes: &[u8]) -> FileMark {
        FileMark { length: bytes.len() as u64, checksum: crc32fast::hash(bytes) }
    }
}

/// One record.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A call was taken on.
    Taken(Taken),
    /// The state of its delegations from now on.
    State {
        /// The call.
        no: CallNo,
        /// How many were started.
        attempts: u32,
        /// The first one that may have run.
        ran: Option<Sent>,
        /// The one that is out.
        out: Option<Sent>,
    },
    /// Its end was decided; the client may not have heard.
    Ended {
        /// The call.
        no: CallNo,
        /// How.
        ending: Ending,
    },
    /// Nothing is owed any more; its identity is remembered.
    Over {
        /// The call.
        no: CallNo,
        /// Until when.
        until: Ms,
    },
    /// Calls that count against what was promised of a member.
    Spent(Spent),
    /// A message that is never to be repeated has ended and may have run.
    Once {
        /// Under which name it is known.
        name: String,
        /// How it ended.
        ending: Ending,
        /// Until when it is remembered.
        until: Ms,
        /// Its tenant, where tenants may move.
        tenant: String,
    },
    /// A call that is over, for the memory of identities.
    Known {
        /// Who and which.
        identity: Identity,
        /// How it ended.
        ending: Ending,
        /// Until when it is remembered.
        until: Ms,
        /// Its tenant, where tenants may move.
        tenant: String,
    },
    /// A tenant's seat, as `lilacbank_cells::wire` writes it.
    Seat(Vec<u8>),
    /// The machine's clocks at the start of the process that wrote the records behind it: see [`crate::timeline`].
    Clock(Reading),
    /// The records of the folder's other file, left by a process that has ended, stand before this one: the file itself may
    /// still be there.
    Adopted(FileMark),
    /// An endpoint told to wait.
    Wait {
        /// The endpoint's id in the list.
        worker: String,
        /// Until when.
        until: Ms,
    },
}

#[derive(Default)]
struct Out(Vec<u8>);

impl Out {
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
    fn sent(&mut self, s: &Option<Sent>) {
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
            Ending::HandedBack(wait) => (2, wait),
        };
        self.0.push(code);
        self.ms(wait);
    }
    /// Left out where there is none: the mark of the record says so.
    fn tenant(&mut self, t: &str) {
        if !t.is_empty() {
            self.bytes(t.as_bytes());
        }
    }
    fn identity(&mut self, i: &Identity) {
        self.bytes(i.0.as_bytes());
        self.bytes(i.1.as_bytes());
    }
}

struct In<'a>(&'a [u8]);

impl<'a> In<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
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
    fn sent(&mut self) -> Option<Option<Sent>> {
        Some(if self.u8()? == 0 { None } else { Some(Sent { at: self.ms()?, zone: self.text()? }) })
    }
    fn ending(&mut self) -> Option<Ending> {
        let (code, wait) = (self.u8()?, self.ms()?);
        Some(match code {
            0 => Ending::Delivered,
            1 => Ending::GivenUp,
            2 => Ending::HandedBack(wait),
            _ => return None,
        })
    }
    fn identity(&mut self) -> Option<Identity> {
        Some((self.text()?, self.text()?))
    }
}

impl Record {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut o = Out(vec![0; 8]);
        match self {
            Record::Taken(t) => {
                o.0.push(b'T');
                o.u64(t.no);
                o.identity(&t.identity);
                o.bytes(t.class.as_bytes());
                o.bytes(t.tenant.as_bytes());
                o.0.push(u8::from(t.key.is_some()));
                o.u64(t.key.unwrap_or(0));
                o.bytes(t.idempotency.as_bytes());
                o.u64(t.dest);
                o.ms(t.valid_until);
                o.bytes(&t.reply);
                o.bytes(&t.body);
            }
            Record::State { no, attempts, ran, out } => {
                o.0.push(b'S');
                o.u64(*no);
                o.u64(u64::from(*attempts));
                o.sent(ran);
                o.sent(out);
            }
            Record::Ended { no, ending } => {
                o.0.push(b'E');
                o.u64(*no);
                o.ending(*ending);
            }
            Record::Over { no, until } => {
                o.0.push(b'O');
                o.u64(*no);
                o.ms(*until);
            }
            Record::Spent(s) => {
                o.0.push(b'P');
                o.u64(s.dest);
                o.bytes(s.endpoint.as_bytes());
                o.ms(s.at);
                o.u64(u64::from(s.calls));
                o.0.push(match s.step {
                    Step::Started => 0,
                    Step::Written => 1,
                    Step::GivenBack => 2,
                });
            }
            Record::Once { name, ending, until, tenant } => {
                o.0.push(if tenant.is_empty() { b'N' } else { b'n' });
                o.bytes(name.as_bytes());
                o.ending(*ending);
                o.ms(*until);
                o.tenant(tenant);
            }
            Record::Known { identity, ending, until, tenant } => {
                o.0.push(if tenant.is_empty() { b'K' } else { b'k' });
                o.identity(identity);
                o.ending(*ending);
                o.ms(*until);
                o.tenant(tenant);
            }
            Record::Seat(bytes) => {
                o.0.push(b'M');
                o.bytes(bytes);
            }
            Record::Clock(reading) => {
                o.0.push(b'C');
                o.u64(reading.boot);
                o.ms(reading.since_boot);
                o.ms(reading.wall);
            }
            Record::Adopted(mark) => {
                o.0.push(b'A');
                o.u64(mark.length);
                o.u64(u64::from(mark.checksum));
            }
            Record::Wait { worker, until } => {
                o.0.push(b'W');
                o.bytes(worker.as_bytes());
                o.ms(*until);
            }
        }
        let len = (o.0.len() - 8) as u32;
        let sum = crc32fast::hash(&o.0[8..]);
        o.0[..4].copy_from_slice(&len.to_le_bytes());
        o.0[4..8].copy_from_slice(&sum.to_le_bytes());
        o.0
    }

    pub(super) fn decode(body: &[u8]) -> Option<Record> {
        let mut i = In(body);
        let record = match i.u8()? {
            b'T' => Record::Taken(Taken {
                no: i.u64()?,
                identity: i.identity()?,
                class: i.text()?,
                tenant: i.text()?,
                key: match (i.u8()?, i.u64()?) {
                    (0, _) => None,
                    (_, k) => Some(k),
                },
                idempotency: i.text()?,
                dest: i.u64()?,
                valid_until: i.ms()?,
                reply: i.bytes()?,
                body: i.bytes()?,
            }),
            b'S' => Record::State {
                no: i.u64()?,
                attempts: u32::try_from(i.u64()?).ok()?,
                ran: i.sent()?,
                out: i.sent()?,
            },
            b'E' => Record::Ended { no: i.u64()?, ending: i.ending()? },
            b'O' => Record::Over { no: i.u64()?, until: i.ms()? },
            b'P' => Record::Spent(Spent {
                dest: i.u64()?,
                endpoint: i.text()?,
                at: i.ms()?,
                calls: u32::try_from(i.u64()?).ok()?,
                step: match i.u8()? {
                    0 => Step::Started,
                    1 => Step::Written,
                    2 => Step::GivenBack,
                    _ => return None,
                },
            }),
            mark @ (b'N' | b'n') => Record::Once {
                name: i.text()?,
                ending: i.ending()?,
                until: i.ms()?,
                tenant: if mark == b'n' { i.text()? } else { String::new() },
            },
            mark @ (b'K' | b'k') => Record::Known {
                identity: i.identity()?,
                ending: i.ending()?,
                until: i.ms()?,
                tenant: if mark == b'k' { i.text()? } else { String::new() },
            },
            b'M' => Record::Seat(i.bytes()?),
            b'C' => Record::Clock(Reading { boot: i.u64()?, since_boot: i.ms()?, wall: i.ms()? }),
            b'A' => Record::Adopted(FileMark { length: i.u64()?, checksum: u32::try_from(i.u64()?).ok()? }),
            b'W' => Record::Wait { worker: i.text()?, until: i.ms()? },
            _ => return None,
        };
        i.0.is_empty().then_some(record)
    }

    /// The call that it is about.
    pub fn call(&self) -> Option<CallNo> {
        match self {
            Record::Taken(t) => Some(t.no),
            Record::State { no, .. } | Record::Ended { no, .. } | Record::Over { no, .. } => Some(*no),
            _ => None,
        }
    }

    /// Bytes that the record takes in the file.
    pub fn size(&self) -> u64 {
        self.encode().len() as u64
    }
}
