//! Beside: what a process does with messages of ordered keys while another process serves on the same folder, during an
//! upgrade. No I/O: the wires tell it what they see of the folder, with the time.
//!
//! Two processes of one dispatcher must keep the order of a key between them, and they know nothing of each other's
//! messages. The one that came second holds every message of an ordered key that it takes, until the first has ended and
//! its calls are taken over: those were taken earlier and go first. The first one, once it has seen the second, hands
//! such messages back, so that none of them is taken after one that the second holds. The second hands them back too
//! until the first has surely seen it.

use crate::api::Ms;

/// How long after its start a process that found another one beside it hands ordered messages back: the other one looks
/// at the folder every 100 ms, and so much later it has surely seen this one.
pub const UNSEEN: Ms = 300.0;
/// The wait told to a client whose ordered message is handed back: the other process is gone by then, or has the message.
pub const BACK_AFTER: Ms = 500.0;

/// Which of the two this process is.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Role {
    /// Alone on the folder.
    Alone,
    /// It found the other one at its start, at this time.
    Second(Ms),
    /// It saw the other one come.
    First,
}

/// What becomes of a message of an ordered key that comes now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Keyed {
    /// Taken and handed to the module as usual.
    Take,
    /// Taken and held back until the other process has ended.
    Hold,
    /// Handed back, with this wait.
    HandBack(Ms),
}

/// What is known of another process on the folder.
#[derive(Debug, Clone, Copy)]
pub struct Beside {
    role: Role,
    /// Has it been looked at once?
    looked: bool,
}

impl Default for Beside {
    fn default() -> Beside {
        Beside { role: Role::Alone, looked: false }
    }
}

impl Beside {
    /// What a look at the folder found: does another process live on it? True once it has ended, and what this one held
    /// back may go.
    pub fn seen(&mut self, now: Ms, lives: bool) -> bool {
        let first_look = !std::mem::replace(&mut self.looked, true);
        let was = self.role;
        self.role = match (lives, was) {
            (false, _) => Role::Alone,
            (true, Role::Alone) if first_look => Role::Second(now),
            (true, Role::Alone) => Role::First,
            (true, role) => role,
        };
        matches!(was, Role::Second(_) | Role::First) && self.role == Role::Alone
    }

    /// Does another process serve beside this one?
    pub fn lives(&self) -> bool {
        self.role != Role::Alone
    }

    /// What becomes of a message of an ordered key that comes now.
    pub fn keyed(&self, now: Ms) -> Keyed {
        match self.role {
            Role::Alone => Keyed::Take,
            Role::Second(since) if now - since >= UNSEEN => Keyed::Hold,
            Role::Second(_) | Role::First => Keyed::HandBack(BACK_AFTER),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn alone_all_is_taken_and_nothing_is_freed() {
        let mut b = Beside::default();
        assert!(!b.seen(0.0, false));
        assert_eq!(b.keyed(5.0), Keyed::Take);
        assert!(!b.seen(100.0, false));
    }

    /// Guards against a key of the second overtaking one that the first took in the instant before it saw the second.
    #[test]
    fn the_second_hands_back_until_it_is_surely_seen_then_holds_until_the_first_has_ended() {
        let mut b = Beside::default();
        assert!(!b.seen(1_000.0, true));
        assert_eq!(b.keyed(1_000.0 + UNSEEN - 1.0), Keyed::HandBack(BACK_AFTER));
        assert!(!b.seen(1_100.0, true));
        assert_eq!(b.keyed(1_000.0 + UNSEEN), Keyed::Hold);
        assert!(b.seen(4_000.0, false), "what was held goes now");
        assert_eq!(b.keyed(4_001.0), Keyed::Take);
    }

    /// Guards against the first taking a key after the second took one of it: the second's would go first.
    #[test]
    fn the_first_hands_back_from_the_moment_it_sees_the_second() {
        let mut b = Beside::default();
        b.seen(0.0, false);
        assert_eq!(b.keyed(50.0), Keyed::Take);
        b.seen(100.0, true);
        assert!(b.lives());
        assert_eq!(b.keyed(60_000.0), Keyed::HandBack(BACK_AFTER));
        assert!(b.seen(60_100.0, false));
        assert_eq!(b.keyed(60_101.0), Keyed::Take);
    }
}
