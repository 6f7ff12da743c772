//! What a process does with messages of ordered keys while a sibling process serves on the same state folder,
//! during an upgrade. No I/O: the network side reports what it sees of the folder, with the time.
//!
//! The two processes must keep the order of a key between them, and know nothing of each other's messages.
//! The process that started second withholds every message of an ordered key that it accepts until the first
//! has ended and its messages are taken over: those were accepted earlier and go first. The first process,
//! once it has seen the second, returns such messages, so that none of them is accepted after one that the
//! second withholds. The second process returns them too until the first must have seen it.

use crate::api::Ms;

/// How long after its start a process that found a sibling returns ordered messages. The sibling looks at the
/// folder every 100 ms, so after this time it must have seen this process.
pub const DETECTION_DELAY: Ms = 300.0;
/// The retry-after of a client whose ordered message is returned: by then the sibling process has ended, or
/// holds the message.
pub const RETURN_RETRY_AFTER: Ms = 500.0;

/// Which of the two processes this one is.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Role {
    /// No other process serves on the folder.
    Alone,
    /// It found the other process when it started, at this time.
    Second(Ms),
    /// It was serving when the other process appeared.
    First,
}

/// What happens to a message of an ordered key that is submitted now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum KeyedAdmission {
    /// Accepted and given to the decision module as usual.
    Accept,
    /// Accepted and withheld until the sibling process has ended.
    Withhold,
    /// Returned, with this retry-after.
    Return(Ms),
}

/// What is known of a sibling process on the state folder.
#[derive(Debug, Clone, Copy)]
pub struct SiblingProcess {
    role: Role,
    /// Whether the folder has been looked at once.
    observed: bool,
}

impl Default for SiblingProcess {
    fn default() -> SiblingProcess {
        SiblingProcess { role: Role::Alone, observed: false }
    }
}

impl SiblingProcess {
    /// Records whether another process lives on the folder. True once it has ended and the withheld messages
    /// may go.
    pub fn observe_folder(&mut self, now: Ms, lives: bool) -> bool {
        let first_look = !std::mem::replace(&mut self.observed, true);
        let was = self.role;
        self.role = match (lives, was) {
            (false, _) => Role::Alone,
            (true, Role::Alone) if first_look => Role::Second(now),
            (true, Role::Alone) => Role::First,
            (true, role) => role,
        };
        matches!(was, Role::Second(_) | Role::First) && self.role == Role::Alone
    }

    /// Whether a sibling process serves.
    pub fn is_present(&self) -> bool {
        self.role != Role::Alone
    }

    /// What happens to a message of an ordered key that is submitted now.
    pub fn admission(&self, now: Ms) -> KeyedAdmission {
        match self.role {
            Role::Alone => KeyedAdmission::Accept,
            Role::Second(since) if now - since >= DETECTION_DELAY => KeyedAdmission::Withhold,
            Role::Second(_) | Role::First => KeyedAdmission::Return(RETURN_RETRY_AFTER),
        }
    }
}

#[cfg(test)]
mod tests;
