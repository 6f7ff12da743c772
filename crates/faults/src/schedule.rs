//! Parses the schedule of faults and looks up the active ones. Makes no system calls.

use libc::c_int;

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The wall clock is offset.
    Clock,
    /// Writes to the folder fail with `ENOSPC`.
    NoSpace,
    /// The folder is on a disk of this many bytes.
    Disk,
    /// Calls on the folder fail with `EIO`.
    Io,
    /// New connections cannot be accepted.
    Accept,
    /// New connections cannot be opened.
    Connect,
    /// New connections are delayed.
    Late,
    /// Calls are interrupted by signals.
    Interrupt,
    /// Reads and writes on sockets transfer few bytes.
    Short,
    /// The thread sleeps before socket writes.
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
    /// From this variant on: only calls on files in the folder.
    Open,
    Read,
    Write,
    WriteAt,
    Truncate,
    Rename,
    Remove,
    Status,
}

/// The functions that `fail` accepts, by their names in the manual pages.
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

/// The errors that `fail` accepts, by their names in the manual pages.
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

/// One fault, active from `from` until `until`, in milliseconds since the epoch of the schedule.
#[derive(Debug, Clone, Copy)]
struct Fault {
    kind: Kind,
    from: f64,
    until: f64,
    argument: f64,
}

impl Fault {
    /// Whether the fault applies only to files in the folder.
    fn needs_folder(&self) -> bool {
        use Call::*;
        match self.kind {
            Kind::NoSpace | Kind::Disk | Kind::Io => true,
            Kind::Fail(call, _) => {
                matches!(call, Open | Read | Write | WriteAt | Truncate | Rename | Remove | Status)
            }
            _ => false,
        }
    }
}

/// All faults of one process.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    faults: Vec<Fault>,
    epoch: f64,
    /// Prefix of the paths whose files fail.
    pub(crate) folder: String,
}

impl Schedule {
    /// Parses a schedule.
    ///
    /// # Errors
    ///
    /// Describes the first fault that cannot be parsed, and the expected form.
    pub(crate) fn parse(text: &str, epoch: f64, folder: String) -> Result<Schedule, String> {
        let parts = text.split(';').map(str::trim).filter(|p| !p.is_empty());
        let faults = parts.map(parse_fault).collect::<Result<Vec<Fault>, String>>()?;
        if folder.is_empty() && faults.iter().any(Fault::needs_folder) {
            let error = "enospc, disk, eio and functions on files need LILACBANK_FAULTS_FOLDER; set it to the folder whose files fail";
            return Err(error.into());
        }
        Ok(Schedule { faults, epoch, folder })
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// The error with which this function fails at this time.
    pub(crate) fn scheduled_error(&self, call: Call, now: f64) -> Option<c_int> {
        let at = now - self.epoch;
        let active = self.faults.iter().filter(|f| f.from <= at && at < f.until);
        active.rev().find_map(|f| match f.kind {
            Kind::Fail(function, error) if function == call => Some(error),
            _ => None,
        })
    }

    /// The argument of the last listed fault of this kind that is active at this time.
    pub(crate) fn active_argument(&self, kind: Kind, now: f64) -> Option<f64> {
        let at = now - self.epoch;
        let is_active = |f: &&Fault| f.kind == kind && f.from <= at && at < f.until;
        self.faults.iter().rev().find(is_active).map(|f| f.argument)
    }
}

fn parse_fault(text: &str) -> Result<Fault, String> {
    let invalid = |problem: &str| Err(format!("'{text}': {problem}"));
    let fields: Vec<&str> = text.split_whitespace().collect();
    if let ["fail", from, until, call, error] = fields.as_slice() {
        let call = CALLS.iter().find(|(name, _)| name == call).map(|c| c.1);
        let error = ERRORS.iter().find(|(name, _)| name == error).map(|e| e.1);
        return match call.zip(error) {
            Some((call, error)) => parse_span(text, from, until).map(|(from, until)| Fault {
                kind: Kind::Fail(call, error),
                from,
                until,
                argument: 0.0,
            }),
            None => invalid(&format!(
                "the function is one of {}, the error one of {}",
                join_names(&CALLS),
                join_names(&ERRORS)
            )),
        };
    }
    let (kind, from, until, argument) =
        match fields.as_slice() {
            [kind, from, until] => (*kind, *from, *until, "0"),
            [kind, from, until, argument] => (*kind, *from, *until, *argument),
            _ => return invalid(
                "write KIND FROM UNTIL [ARGUMENT] or fail FROM UNTIL FUNCTION ERROR, times in milliseconds",
            ),
        };
    let kind = match kind {
        "clock" => Kind::Clock,
        "enospc" => Kind::NoSpace,
        "disk" => Kind::Disk,
        "eio" => Kind::Io,
        "accept" => Kind::Accept,
        "connect" => Kind::Connect,
        "late" => Kind::Late,
        "eintr" => Kind::Interrupt,
        "short" => Kind::Short,
        "halt" => Kind::Halt,
        _ => {
            let kinds = "clock, enospc, disk, eio, accept, connect, late, eintr, short, halt, fail";
            return invalid(&format!("the kind is one of {kinds}"));
        }
    };
    let Some(argument) = parse_number(argument) else { return invalid(NOT_NUMBERS) };
    parse_span(text, from, until).map(|(from, until)| Fault { kind, from, until, argument })
}

const NOT_NUMBERS: &str = "FROM, UNTIL and ARGUMENT are numbers";

fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|n| n.is_finite())
}

/// Parses the start and end of a fault; `text` is the whole fault, for error messages.
fn parse_span(text: &str, from: &str, until: &str) -> Result<(f64, f64), String> {
    match parse_number(from).zip(parse_number(until)) {
        Some((from, until)) if from < until => Ok((from, until)),
        Some(_) => Err(format!("'{text}': FROM is before UNTIL")),
        None => Err(format!("'{text}': {NOT_NUMBERS}")),
    }
}

fn join_names<T>(table: &[(&str, T)]) -> String {
    table.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ")
}
