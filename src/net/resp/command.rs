//! Parses RESP2 commands. No I/O.

use crate::api::Ms;
use crate::config;
use crate::dispatch::Submission;

/// Maximum number of parts of a command.
const PARTS_MAX: usize = 8;
/// Maximum size of one part in bytes: the largest body.
pub(super) const PART_MAX: usize = 64 * 1024;
/// Maximum length in bytes of a line that announces a count or a length.
const LINE_MAX: usize = 32;

/// The parts of a command, and the number of bytes that it took.
type Command = (Vec<Vec<u8>>, usize);

/// Result of parsing the start of the read buffer.
pub(super) enum Parse {
    /// A whole command: its parts, and the number of bytes that it took.
    Whole(Vec<Vec<u8>>, usize),
    /// More bytes are needed.
    More,
    /// The bytes are no command, for this reason.
    Bad(&'static str),
}

/// Parses a line that starts with the mark and ends with CR LF; returns its number and the position after the
/// line.
fn number(bytes: &[u8], pos: usize, mark: u8) -> Result<Option<(usize, usize)>, &'static str> {
    let rest = &bytes[pos.min(bytes.len())..];
    if rest.first().is_some_and(|b| *b != mark) {
        return Err("Protocol error: an array of bulk strings was expected");
    }
    let Some(end) = rest.windows(2).take(LINE_MAX).position(|w| w == b"\r\n") else {
        return if rest.len() > LINE_MAX { Err("Protocol error: a length is too long") } else { Ok(None) };
    };
    let digits = std::str::from_utf8(&rest[1..end]).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    match digits.and_then(|d| d.parse().ok()) {
        Some(n) => Ok(Some((n, pos + end + 2))),
        None => Err("Protocol error: invalid length"),
    }
}

/// Parses the command at the start of these bytes.
pub(super) fn parse(bytes: &[u8]) -> Parse {
    let inner = || -> Result<Option<Command>, &'static str> {
        let Some((count, mut pos)) = number(bytes, 0, b'*')? else { return Ok(None) };
        if count == 0 || count > PARTS_MAX {
            return Err("Protocol error: wrong number of parts");
        }
        let mut parts = Vec::with_capacity(count);
        for _ in 0..count {
            let Some((len, start)) = number(bytes, pos, b'$')? else { return Ok(None) };
            if len > PART_MAX {
                return Err("Protocol error: a part is too large");
            }
            let Some(part) = bytes.get(start..start + len) else { return Ok(None) };
            match bytes.get(start + len..start + len + 2) {
                Some(b"\r\n") => parts.push(part.to_vec()),
                Some(_) => return Err("Protocol error: a part is longer than announced"),
                None => return Ok(None),
            }
            pos = start + len + 2;
        }
        Ok(Some((parts, pos)))
    };
    match inner() {
        Ok(Some((parts, used))) => Parse::Whole(parts, used),
        Ok(None) => Parse::More,
        Err(why) => Parse::Bad(why),
    }
}

/// Parses the parts of a SUBMIT: ordering key, id, options and body.
pub(super) fn submission(parts: Vec<Vec<u8>>) -> Result<Submission, String> {
    let [_, key, id, options, body]: [Vec<u8>; 5] =
        parts.try_into().map_err(|_| "wrong number of arguments for 'submit'".to_string())?;
    let text =
        |bytes: Vec<u8>, what: &str| String::from_utf8(bytes).map_err(|_| format!("{what} is no text"));
    let (key, id, options) = (text(key, "the key")?, text(id, "the id")?, text(options, "the options")?);
    let given = config::parse_options(&options).ok_or("options are name=value pairs")?;
    let number =
        |name: &str| given.get(name).map(|v| v.parse::<u64>().map_err(|_| format!("bad {name}"))).transpose();
    let mark = |name: &str| given.get(name) == Some(&"1");
    let key = u64::from_str_radix(&key, 16).map_err(|_| "the key is not made of hex digits")?;
    Ok(Submission {
        identity: (String::new(), id),
        class: given.get("c").ok_or("c is missing")?.to_string(),
        tenant: given.get("t").unwrap_or(&"").to_string(),
        key: Some(key).filter(|k| *k != 0),
        idempotency_key: given.get("k").unwrap_or(&"").to_string(),
        dest: number("dest")?.ok_or("dest is missing")?,
        time_left: number("d")?.map(|d| d as Ms),
        resubmitted: mark("r") || mark("again"),
        reply_to: Vec::new(),
        body,
    })
}
