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
    /// Reads a schedule.
    ///
    /// # Errors
    ///
    /// What is wrong with the first part that does not read, and what to write.
    pub(crate) fn parse(text: &str, epoch: f64, folder: String) -> Result<Schedule, String> {
        let parts = text.split(';').map(str::trim).filter(|p| !p.is_empty());
        let faults = parts.map(fault).collect::<Result<Vec<Fault>, String>>()?;
        let on_folder = |f: &Fault| matches!(f.kind, Kind::NoSpace | Kind::Io);
        if folder.is_empty() && faults.iter().any(on_folder) {
            return Err(
                "enospc and eio need LILACBANK_FAULTS_FOLDER; set it to the folder whose files fail".into()
            );
        }
        Ok(Schedule { faults, epoch, folder })
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

fn fault(text: &str) -> Result<Fault, String> {
    let wrong = |what: &str| Err(format!("'{text}': {what}"));
    let words: Vec<&str> = text.split_whitespace().collect();
    let (kind, from, until, argument) = match words.as_slice() {
        [kind, from, until] => (*kind, *from, *until, "0"),
        [kind, from, until, argument] => (*kind, *from, *until, *argument),
        _ => return wrong("write KIND FROM UNTIL [ARGUMENT], times in milliseconds"),
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
        _ => return wrong("the kind is one of clock, enospc, eio, accept, connect, eintr, short, halt"),
    };
    let number = |text: &str| text.parse::<f64>().ok().filter(|n| n.is_finite());
    match (number(from), number(until), number(argument)) {
        (Some(from), Some(until), Some(argument)) if from < until => {
            Ok(Fault { kind, from, until, argument })
        }
        (Some(_), Some(_), Some(_)) => wrong("FROM is before UNTIL"),
        _ => wrong("FROM, UNTIL and ARGUMENT are numbers"),
    }
}
