//! Counters of what was taken in, sent and answered.

use std::fmt;

/// What a dispatcher has done since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls handed in and taken on.
    pub taken: u64,
    /// Calls found in the journal at the start.
    pub resumed: u64,
    /// Calls that were known already.
    pub repeated: u64,
    /// Calls turned away with an invitation to come again.
    pub busy: u64,
    /// Calls that could not be read, or failed at once.
    pub malformed: u64,
    /// Delegations started.
    pub sent: u64,
    /// Probes started.
    pub probes: u64,
    /// Calls delivered.
    pub delivered: u64,
    /// Calls given up.
    pub given_up: u64,
    /// Calls handed back after they were taken on.
    pub handed_back: u64,
    /// Delegations answered with an error.
    pub errors: u64,
    /// Delegations turned away.
    pub refused: u64,
    /// Delegations not answered in time.
    pub late: u64,
    /// Delegations that got no connection.
    pub unconnected: u64,
    /// Delegations whose connection broke.
    pub resets: u64,
    /// Delegations called off.
    pub cancelled: u64,
    /// Delegations not sent.
    pub unsent: u64,
    /// Delegations and probes that a ceiling kept back.
    pub over: u64,
    /// Calls handed back so that another cell got its part.
    pub evicted: u64,
    /// Calls turned away because those like them are served too slowly for them to be in time.
    pub door: u64,
    /// Final answers that clients have confirmed.
    pub confirmed: u64,
    /// Delegations that a member's climb after the start kept back.
    pub ramped: u64,
    /// Unsafe messages handed in again that were answered without a call: the folder could not prove them unsent.
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
            self.over,
            self.ramped,
            self.probes
        )?;
        write!(
            f,
            "answered: {} delivered, {} given up, {} handed back ({} for another cell), {} confirmed, {} too late at the door, \
             {} unproven",
            self.delivered, self.given_up, self.handed_back, self.evicted, self.confirmed, self.door, self.unproven
        )
    }
}
