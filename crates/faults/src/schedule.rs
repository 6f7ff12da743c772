//! The schedule of faults, as its text says; no system call.

use libc::c_int;

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
    /// New connections come up late.
    Late,
    /// Calls are interrupted by signals.
    Interrupt,
    /// Reads and writes on sockets move few bytes.
    Short,
    /// The process is held up.
    Halt,
    /// One function of the C library fails with one error.
    Fail(Call, c_int),
}

/// A function of the C library that can be made to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Call {
    Accept,
    Connect,
    Socket,
    Pipe,
    Poll,
    Send,
    Receive,
    Lock,
    /// This and the following ones: on the folder only.
    Open,
    Read,
    Write,
    WriteAt,
    Truncate,
    Rename,
    Remove,
    Status,
}

/// The functions by their names.
const CALLS: [(&str, Call); 16] = [
    ("accept4", Call::Accept),
    ("connect", Call::Connect),
    ("socket", Call::Socket),
    ("pipe2", Call::Pipe),
    ("epoll_ctl", Call::Poll),
    ("send", Call::Send),
    ("recv", Call::Receive),
    ("flock", Call::Lock),
    ("open64", Call::Open),
    ("read", Call::Read),
    ("write", Call::Write),
    ("pwrite64", Call::WriteAt),
    ("ftruncate64", Call::Truncate),
    ("rename", Call::Rename),
    ("unlink", Call::Remove),
    ("statx", Call::Status),
];

/// The errors by their names.
const ERRORS: [(&str, c_int); 17] = [
    ("EAGAIN", libc::EAGAIN),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("EDQUOT", libc::EDQUOT),
    ("EFBIG", libc::EFBIG),
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOLCK", libc::ENOLCK),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("EPERM", libc::EPERM),
    ("EPROTO", libc::EPROTO),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

/// One fault and when it is on.
#[derive(Debug, Clone, Copy)]
struct Fault {
    kind: Kind,
    from: f64,
    until: f64,
    argument: f64,
}

impl Fault {
    /// Does it concern files of the folder only?
    fn is_on_folder(&self) -> bool {
        use Call::*;
        match self.kind {
            Kind::NoSpace | Kind::Io => true,
            Kind::Fail(call, _) => {
                matches!(call, Open | Read | Write | WriteAt | Truncate | Rename | Remove | Status)
            }
            _ => false,
        }
    }
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
        if folder.is_empty() && faults.iter().any(Fault::is_on_folder) {
            let why = "enospc, eio and functions on files need LILACBANK_FAULTS_FOLDER; set it to the folder whose files fail";
            return Err(why.into());
        }
        Ok(Schedule { faults, epoch, folder })
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// The error with which a function fails at this time.
    pub(crate) fn failure(&self, call: Call, now: f64) -> Option<c_int> {
        let at = now - self.epoch;
        let on = self.faults.iter().filter(|f| f.from <= at && at < f.until);
        on.rev().find_map(|f| match f.kind {
            Kind::Fail(of, error) if of == call => Some(error),
            _ => None,
        })
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
    if let ["fail", from, until, call, error] = words.as_slice() {
        let call = CALLS.iter().find(|(name, _)| name == call).map(|c| c.1);
        let error = ERRORS.iter().find(|(name, _)| name == error).map(|e| e.1);
        return match call.zip(error) {
            Some((call, error)) => span(text, from, until).map(|(from, until)| Fault {
                kind: Kind::Fail(call, error),
                from,
                until,
                argument: 0.0,
            }),
            None => wrong(&format!(
                "the function is one of {}, the error one of {}",
                names(&CALLS),
                names(&ERRORS)
            )),
        };
    }
    let (kind, from, until, argument) =
        match words.as_slice() {
            [kind, from, until] => (*kind, *from, *until, "0"),
            [kind, from, until, argument] => (*kind, *from, *until, *argument),
            _ => return wrong(
                "write KIND FROM UNTIL [ARGUMENT] or fail FROM UNTIL FUNCTION ERROR, times in milliseconds",
            ),
        };
    let kind = match kind {
        "clock" => Kind::Clock,
        "enospc" => Kind::NoSpace,
        "eio" => Kind::Io,
        "accept" => Kind::Accept,
        "connect" => Kind::Connect,
        "late" => Kind::Late,
        "eintr" => Kind::Interrupt,
        "short" => Kind::Short,
        "halt" => Kind::Halt,
        _ => {
            let kinds = "clock, enospc, eio, accept, connect, late, eintr, short, halt, fail";
            return wrong(&format!("the kind is one of {kinds}"));
        }
    };
    let Some(argument) = number(argument) else { return wrong(NOT_NUMBERS) };
    span(text, from, until).map(|(from, until)| Fault { kind, from, until, argument })
}

const NOT_NUMBERS: &str = "FROM, UNTIL and ARGUMENT are numbers";

fn number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|n| n.is_finite())
}

/// The two times of a fault.
fn span(text: &str, from: &str, until: &str) -> Result<(f64, f64), String> {
    match number(from).zip(number(until)) {
        Some((from, until)) if from < until => Ok((from, until)),
        Some(_) => Err(format!("'{text}': FROM is before UNTIL")),
        None => Err(format!("'{text}': {NOT_NUMBERS}")),
    }
}

fn names<T>(table: &[(&str, T)]) -> String {
    table.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ")
}
