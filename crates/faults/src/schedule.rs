//! The schedule of faults, as its text says; no system call.

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The wall clock is off.
    Clock,
    /// Writes to the folder: no space.
    NoSpace,
    /// All work on the folder: I/O error.
    Io,
    /// New connections cannot be taken.
    Accept,
    /// New connections cannot be made.
    Connect,
    /// Calls are interrupted by signals.
    Interrupt,
    /// Reads and writes on sockets move few bytes.
    Short,
    /// The process is held up.
    Halt,
}

/// One fault and when it is on.
#[derive(Debug, Clone, Copy)]
struct Fault {
    kind: Kind,
    from: f64,
    until: f64,
    argument: f64,
}

/// All faults of a process.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    faults: Vec<Fault>,
    epoch: f64,
    /// Paths that begin so belong to the folder whose files fail.
    pub(crate) folder: String,
}

impl Schedule {
    /// Reads a schedule; what does not read is left out with a line on standard error.
    pub(crate) fn parse(text: &str, epoch: f64, folder: String) -> Schedule {
        let mut faults = Vec::new();
        for part in text.split(';').map(str::trim).filter(|p| !p.is_empty()) {
            match fault(part) {
                Some(fault) => faults.push(fault),
                None => eprintln!("LILACBANK_FAULTS: '{part}' is not KIND FROM UNTIL [ARGUMENT]"),
            }
        }
        Schedule { faults, epoch, folder }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// The argument of the last fault of this kind that is on at this time.
    pub(crate) fn active(&self, kind: Kind, now: f64) -> Option<f64> {
        let at = now - self.epoch;
        let on = |f: &&Fault| f.kind == kind && f.from <= at && at < f.until;
        self.faults.iter().rev().find(on).map(|f| f.argument)
    }
}

fn fault(text: &str) -> Option<Fault> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let (kind, from, until, rest) = match words.as_slice() {
        [kind, from, until] => (*kind, *from, *until, None),
        [kind, from, until, argument] => (*kind, *from, *until, Some(*argument)),
        _ => return None,
    };
    let kind = match kind {
        "clock" => Kind::Clock,
        "enospc" => Kind::NoSpace,
        "eio" => Kind::Io,
        "accept" => Kind::Accept,
        "connect" => Kind::Connect,
        "eintr" => Kind::Interrupt,
        "short" => Kind::Short,
        "halt" => Kind::Halt,
        _ => return None,
    };
    let argument = rest.map_or(Some(0.0), |r| r.parse().ok())?;
    Some(Fault { kind, from: from.parse().ok()?, until: until.parse().ok()?, argument })
}
