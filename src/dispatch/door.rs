//! The operators' control interface: parses a command line and formats its answer. No I/O: the network side
//! hands over the bytes of a line and writes the answer that the core gives.
//!
//! Each connection carries one line. The answer is one line that starts with `200` (done) or `400` (refused,
//! with the reason). `vars` is answered with the metrics as one line of JSON and a line `EOF`: the operators'
//! bench reads it so, and did not read a `200` line before it.

/// The longest line in bytes, its end included. Guards against a client that sends without end.
pub const MAX_LINE_BYTES: usize = 512;
/// The longest endpoint id, in bytes.
pub const MAX_ID_BYTES: usize = 256;

/// A command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Asks whether this process takes clients.
    Check,
    /// Asks for the metrics.
    Vars,
    /// Blocks the endpoint of this id until `set-up`.
    SetDown(String),
    /// Removes the block of the endpoint of this id.
    SetUp(String),
    /// Stops taking clients.
    DrainOn,
    /// Takes clients again.
    DrainOff,
}

/// The result of parsing the bytes read so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    /// The line has not ended, and may be longer.
    Incomplete,
    /// A command.
    Command(Command),
    /// An invalid line: the reason, for the `400` answer.
    Invalid(String),
}

/// Parses a line: the bytes up to its end (LF, with or without CR before it).
///
/// # Errors
///
/// None as such: an invalid line is returned as [`Line::Invalid`] with its reason: a line of more than
/// [`MAX_LINE_BYTES`] bytes, one that is not UTF-8, an unknown command, a missing or extra argument.
pub fn read(bytes: &[u8]) -> Line {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return if bytes.len() >= MAX_LINE_BYTES {
            bad(format!("the line is longer than {MAX_LINE_BYTES} bytes"))
        } else {
            Line::Incomplete
        };
    };
    if end >= MAX_LINE_BYTES {
        return bad(format!("the line is longer than {MAX_LINE_BYTES} bytes"));
    }
    let line = &bytes[..end];
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let Ok(text) = std::str::from_utf8(line) else { return bad("the line is not UTF-8".into()) };
    parse(text)
}

/// Parses what was read of a line when the connection ended before the line did.
pub fn parse_unterminated(bytes: &[u8]) -> Line {
    match read(bytes) {
        Line::Incomplete if bytes.is_empty() => bad("nothing was asked".into()),
        Line::Incomplete => match std::str::from_utf8(bytes) {
            Ok(text) => parse(text),
            Err(_) => bad("the line is not UTF-8".into()),
        },
        line => line,
    }
}

fn bad(why: String) -> Line {
    Line::Invalid(why)
}

fn parse(text: &str) -> Line {
    let words: Vec<&str> = text.split_ascii_whitespace().collect();
    let one = |make: fn(String) -> Command| match words.as_slice() {
        [_, id] if id.len() <= MAX_ID_BYTES => Line::Command(make((*id).to_string())),
        [_, _] => bad(format!("an id is at most {MAX_ID_BYTES} bytes")),
        [_] => bad(format!("'{}' needs the id of an endpoint", words[0])),
        _ => bad(format!("'{}' takes one id, not {}", words[0], words.len() - 1)),
    };
    let none = |command: Command| match words.len() {
        1 => Line::Command(command),
        n => bad(format!("'{}' takes no argument, {} were given", words[0], n - 1)),
    };
    match words.first().copied() {
        None => bad("the line is empty".into()),
        Some("check") => none(Command::Check),
        Some("vars") => none(Command::Vars),
        Some("drain-on") => none(Command::DrainOn),
        Some("drain-off") => none(Command::DrainOff),
        Some("set-down") => one(Command::SetDown),
        Some("set-up") => one(Command::SetUp),
        Some(other) => {
            let shown: String = other.chars().take(32).collect();
            bad(format!(
                "unknown command '{shown}'; known: check, vars, set-down ID, set-up ID, drain-on, drain-off"
            ))
        }
    }
}

/// A positive answer, with its line end.
pub fn positive_answer(text: &str) -> String {
    format!("200 {text}\n")
}

/// A negative answer with its reason.
pub fn negative_answer(why: &str) -> String {
    format!("400 {why}\n")
}

#[cfg(test)]
mod tests;
