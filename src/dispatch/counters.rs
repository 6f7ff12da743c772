//! Counters of messages accepted, attempts sent and messages answered.

use std::fmt;

/// What a dispatcher has done since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages accepted.
    pub taken: u64,
    /// Messages restored from the journal at the start.
    pub resumed: u64,
    /// Submissions of messages that were known already.
    pub repeated: u64,
    /// Submissions rejected with a retry-after.
    pub busy: u64,
    /// Submissions that could not be read, or failed at once.
    pub malformed: u64,
    /// Attempts started.
    pub sent: u64,
    /// Probes started.
    pub probes: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Messages given up.
    pub given_up: u64,
    /// Messages returned after they were accepted.
    pub handed_back: u64,
    /// Attempts answered with an error.
    pub errors: u64,
    /// Attempts refused by the endpoint.
    pub refused: u64,
    /// Attempts not answered in time.
    pub late: u64,
    /// Attempts that got no connection.
    pub unconnected: u64,
    /// Attempts whose connection broke.
    pub resets: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Attempts not sent.
    pub unsent: u64,
    /// Attempts and probes held back by a promised limit.
    pub over_limit: u64,
    /// Messages returned so that another cell got its share.
    pub evicted: u64,
    /// Submissions rejected because messages of the same queue are delivered too slowly for them to be in
    /// time.
    pub queue_too_slow: u64,
    /// Final answers confirmed by clients.
    pub confirmed: u64,
    /// Attempts held back by a member's ramp after the start.
    pub ramped: u64,
    /// Repeated submissions of at-most-once messages answered without an attempt, because the state folder
    /// could not prove that they were never sent.
    pub unproven: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "taken in: {} taken, {} resumed, {} repeated, {} busy, {} malformed; ",
            self.taken, self.resumed, self.repeated, self.busy, self.malformed
        )?;
        write!(
            f,
            "sent: {} delegations ({} error, {} refused, {} late, {} unconnected, {} reset, {} cancelled, \
             {} unsent, {} over, {} for a climb), {} probes; ",
            self.sent,
            self.errors,
            self.refused,
            self.late,
            self.unconnected,
            self.resets,
            self.cancelled,
            self.unsent,
            self.over_limit,
            self.ramped,
            self.probes
        )?;
        write!(
            f,
            "answered: {} delivered, {} given up, {} handed back ({} for another cell), {} confirmed, {} too late at the door, \
             {} unproven",
            self.delivered, self.given_up, self.handed_back, self.evicted, self.confirmed, self.queue_too_slow, self.unproven
        )
    }
}
