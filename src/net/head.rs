//! Parses the head of an HTTP response.

use crate::api::LimitReport;

/// Maximum number of headers.
const HEADERS_MAX: usize = 48;
/// Maximum size of a head in bytes.
pub const HEAD_MAX: usize = 16 * 1024;

/// The contents of a response head.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Head {
    /// Size of the head in bytes.
    pub size: usize,
    /// Status code.
    pub code: u16,
    /// Size of the body in bytes, if announced.
    pub length: Option<u64>,
    /// The announced length is contradictory or not a number; the response is malformed.
    pub is_invalid: bool,
    /// The body is chunked.
    pub chunked: bool,
    /// The connection may carry another request once the body has been read.
    pub reusable: bool,
    /// The retry-after wait in milliseconds; 0 if there is none.
    pub wait: f64,
    /// What the endpoint reports about its limit.
    pub report: LimitReport,
    /// All slots of this dispatcher at the endpoint were taken.
    pub over_slots: bool,
}

/// Parses a head: `None` until it is complete, an error if it is malformed.
pub fn head(bytes: &[u8]) -> Result<Option<Head>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut answer = httparse::Response::new(&mut headers);
    let size = match answer.parse(bytes)? {
        httparse::Status::Partial if bytes.len() > HEAD_MAX => return Err(httparse::Error::TooManyHeaders),
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(size) => size,
    };
    let mut h = Head { size, code: answer.code.unwrap_or(0), ..Head::default() };
    h.reusable = answer.version == Some(1);
    for header in answer.headers.iter() {
        let Ok(value) = std::str::from_utf8(header.value).map(str::trim) else { continue };
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let length = value.parse().ok().filter(|_| value.bytes().all(|b| b.is_ascii_digit()));
            h.is_invalid |= length.is_none() || h.length.is_some_and(|l| Some(l) != length);
            h.length = length;
        } else if is("transfer-encoding") {
            h.chunked = value.to_ascii_lowercase().contains("chunked");
        } else if is("connection") && value.eq_ignore_ascii_case("close") {
            h.reusable = false;
        } else if is("retry-after") {
            let wait = value.parse().ok().filter(|s: &f64| s.is_finite() && *s > 0.0);
            h.wait = wait.map_or(0.0, |s| s * 1000.0);
        } else if is("x-pressure") {
            h.report = report(value);
        } else if is("x-over-slots") {
            h.over_slots = value == "1";
        }
    }
    if h.code == 204 || h.code == 304 {
        h.length = Some(0);
    }
    h.reusable &= h.length.is_some() && !h.chunked && !h.is_invalid;
    Ok(Some(h))
}

/// Status code of an incomplete or malformed head: the first line is enough to recognize a delivery.
pub fn status(bytes: &[u8]) -> Option<u16> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut answer = httparse::Response::new(&mut headers);
    let _ = answer.parse(bytes);
    answer.code.filter(|_| bytes.contains(&b'\n'))
}

/// Parses a pressure report such as `x0=0.4,x1=25`; values that cannot be parsed are ignored.
pub fn report(text: &str) -> LimitReport {
    let mut report = LimitReport::default();
    for (name, value) in text.split(',').filter_map(|p| p.split_once('=')) {
        let value = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
        match name.trim() {
            "x0" => report.remaining_share = value,
            "x1" => report.limit = value,
            _ => {}
        }
    }
    report
}
