//! What the MQTT front end keeps of a client beyond its connections: its session, and the answers that it has not
//! acknowledged.

use crate::api::Ms;
use crate::dispatch::FinalAnswer;
use crate::journal::{Ending, MessageNo};
use std::collections::btree_map::{BTreeMap, Entry};
use std::net::SocketAddr;

/// Milliseconds for which the answer to a rejected message is kept for its client, from the rejection or from the end
/// of the connection on which it was sent.
pub(super) const REJECTION_KEPT: Ms = 5_000.0;
/// Bytes that a client takes beyond its name, subscriptions and answers.
pub(super) const NEW_CLIENT_BYTES: usize = 512;
/// Bytes that a pending answer takes beyond its texts.
const ANSWER_OVERHEAD_BYTES: usize = 256;

/// Bytes that a pending answer takes.
pub(super) fn answer_bytes(told: &FinalAnswer) -> usize {
    // The id is kept twice: in the answer and in its key.
    ANSWER_OVERHEAD_BYTES + told.identity.0.len() + 2 * told.identity.1.len() + told.reply_to.len()
}

/// The number of no message: a rejected message has none.
pub(super) const NO_MESSAGE: MessageNo = 0;

/// A final answer that is pending until the client acknowledges it.
#[derive(Debug)]
pub(super) struct PendingAnswer {
    pub(super) told: FinalAnswer,
    /// Id of the packet that carries the answer on the current connection.
    pub(super) packet: Option<u16>,
    /// The answer was sent before on an earlier connection.
    pub(super) again: bool,
    /// Set if another dispatcher serves the tenant: its name and the address for MQTT clients.
    pub(super) moved: Option<(String, Option<SocketAddr>)>,
}

impl PendingAnswer {
    /// Whether the message was rejected: it is not held, and no other answer to it will come.
    fn is_rejection(&self) -> bool {
        self.told.message_no == NO_MESSAGE && self.told.ending != Ending::Delivered
    }

    /// Takes over the latest form of the same answer, unless it is in flight: it is not sent again on the same
    /// connection.
    fn update(&mut self, told: FinalAnswer, moved: Option<(String, Option<SocketAddr>)>) {
        let message_no = self.told.message_no.max(told.message_no);
        if self.packet.is_none() {
            (self.told, self.moved) = (told, moved);
        }
        self.told.message_no = message_no;
    }

    /// Whether the client may have received the answer.
    fn may_be_known(&self) -> bool {
        self.packet.is_some() || self.again
    }
}

/// Distinguishes the pending answers of a client. A different outcome of the same message is an answer of its own.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnswerKey {
    id: String,
    outcome: &'static str,
}

/// The outcome that a client reads in an answer.
pub(super) fn outcome_name(ending: Ending) -> &'static str {
    match ending {
        Ending::Delivered => "delivered",
        Ending::GivenUp => "given_up",
        Ending::Returned(_) => "handed_back",
    }
}

/// State of a client that outlives its connections.
#[derive(Debug, Default)]
pub(super) struct Client {
    pub(super) conn: Option<usize>,
    /// This process holds all subscriptions of the client's session. False for a client that only has pending
    /// answers: after a restart these are known from the journal before the client connects.
    pub(super) has_session: bool,
    pub(super) filters: Vec<String>,
    pub(super) answers: BTreeMap<AnswerKey, PendingAnswer>,
    /// When its last connection ended.
    pub(super) disconnected_at: Ms,
}

impl Client {
    /// Bytes that are kept for the client of this name.
    pub(super) fn bytes(&self, name: &str) -> usize {
        let filters: usize = self.filters.iter().map(String::capacity).sum();
        let answers: usize = self.answers.values().map(|a| answer_bytes(&a.told)).sum();
        NEW_CLIENT_BYTES + name.len() + filters + answers
    }

    /// Whether giving up its session would release memory and cut no connection.
    pub(super) fn can_give_up(&self) -> bool {
        let keeps_rejections = self.answers.values().any(PendingAnswer::is_rejection);
        self.conn.is_none() && (self.answers.is_empty() || !self.filters.is_empty() || keeps_rejections)
    }

    /// Queues a final answer for the client.
    pub(super) fn queue_answer(&mut self, told: FinalAnswer, moved: Option<(String, Option<SocketAddr>)>) {
        let key = AnswerKey { id: told.identity.1.clone(), outcome: outcome_name(told.ending) };
        match self.answers.entry(key) {
            Entry::Occupied(mut pending) => pending.get_mut().update(told, moved),
            Entry::Vacant(vacant) => {
                vacant.insert(PendingAnswer { told, packet: None, again: false, moved });
            }
        }
    }

    /// The client has acknowledged the answer in this packet; returns the number of the held message that it ends.
    pub(super) fn acknowledge(&mut self, packet: u16) -> Option<MessageNo> {
        let key = self.answers.iter().find(|a| a.1.packet == Some(packet)).map(|a| a.0.clone())?;
        let answer = self.answers.remove(&key)?;
        Some(answer.told.message_no).filter(|no| *no != NO_MESSAGE)
    }

    /// The rejection of the message with this id that the client may know of and has not acknowledged.
    pub(super) fn known_rejection(&mut self, id: &str) -> Option<&mut PendingAnswer> {
        let is_known = |(key, a): &(&AnswerKey, &mut PendingAnswer)| {
            key.id == id && a.is_rejection() && a.may_be_known()
        };
        self.answers.iter_mut().find(is_known).map(|(_, a)| a)
    }

    /// Drops rejections of the message with this id that were never sent.
    pub(super) fn drop_unsent_rejections(&mut self, id: &str) {
        self.answers.retain(|key, a| key.id != id || !a.is_rejection() || a.may_be_known());
    }

    /// Ends the session, as its client may have gone on at the sibling process. Rejections end with it: the client may
    /// have submitted the messages there.
    pub(super) fn give_up_session(&mut self) {
        self.has_session = false;
        self.answers.retain(|_, a| !a.is_rejection());
    }

    /// The connection has ended: what was sent on it and not acknowledged is sent again on the next one.
    pub(super) fn disconnect(&mut self, now: Ms) {
        (self.conn, self.disconnected_at) = (None, now);
        for answer in self.answers.values_mut().filter(|a| a.packet.is_some()) {
            (answer.packet, answer.again) = (None, true);
            answer.told.expires_at = answer.told.expires_at.max(now + REJECTION_KEPT);
        }
    }
}
