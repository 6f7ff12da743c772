//! Values with units. Each type is written as one string; parsing and formatting are inverse to each other.

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Implements conversion from and to strings, and a schema with the given pattern and description.
macro_rules! string_type {
    ($type:ident, $pattern:expr, $about:expr) => {
        impl TryFrom<String> for $type {
            type Error = String;
            fn try_from(text: String) -> Result<Self, String> {
                text.parse()
            }
        }
        impl From<$type> for String {
            fn from(value: $type) -> String {
                value.to_string()
            }
        }
        impl JsonSchema for $type {
            fn schema_name() -> Cow<'static, str> {
                stringify!($type).into()
            }
            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({ "type": "string", "pattern": $pattern, "description": $about })
            }
        }
    };
}

/// Splits a string into a number and the unit that follows it.
fn split_unit(text: &str) -> Result<(f64, &str), String> {
    let at = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (digits, unit) = text.split_at(at);
    let number = digits.parse::<f64>().map_err(|_| format!("'{text}' does not begin with a number"))?;
    Ok((number, unit.trim()))
}

/// Formats a number with up to 6 decimals, without trailing zeros.
fn format_number(n: f64) -> String {
    let text = format!("{n:.6}");
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

/// A span of time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub f64);

/// Units of time and their lengths in milliseconds, the longest first.
const SPAN_UNITS_MS: [(&str, f64); 5] =
    [("d", 86_400_000.0), ("h", 3_600_000.0), ("min", 60_000.0), ("s", 1_000.0), ("ms", 1.0)];
/// The longest span, in milliseconds: 366 days. A longer one is assumed to be a typing error.
const MAX_SPAN_MS: f64 = 366.0 * 86_400_000.0;

impl FromStr for Span {
    type Err = String;
    fn from_str(text: &str) -> Result<Span, String> {
        let (n, unit) = split_unit(text)?;
        let scale = SPAN_UNITS_MS.iter().find(|s| s.0 == unit).map(|s| s.1);
        let scale = scale
            .ok_or_else(|| format!("'{text}' has no unit of time; write it like \"1500ms\" or \"2s\""))?;
        let ms = n * scale;
        if ms > MAX_SPAN_MS {
            return Err(format!("'{text}' is longer than a year"));
        }
        Ok(Span(ms))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = |scale: f64| self.0 >= scale && (self.0 / scale).fract() == 0.0;
        let (unit, scale) = SPAN_UNITS_MS.into_iter().find(|s| whole(s.1)).unwrap_or(("ms", 1.0));
        write!(f, "{}{unit}", format_number(self.0 / scale))
    }
}

string_type!(Span, r"^[0-9]+(\.[0-9]+)?(ms|s|min|h|d)$", "a span of time, such as \"1500ms\" or \"2s\"");

/// A size, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Size(pub u64);

/// Units of size and their bytes, the largest first.
const SIZE_UNITS_BYTES: [(&str, f64); 7] = [
    ("GiB", 1_073_741_824.0),
    ("GB", 1e9),
    ("MiB", 1_048_576.0),
    ("MB", 1e6),
    ("KiB", 1_024.0),
    ("kB", 1e3),
    ("B", 1.0),
];

impl FromStr for Size {
    type Err = String;
    fn from_str(text: &str) -> Result<Size, String> {
        let (n, unit) = split_unit(text)?;
        let scale = SIZE_UNITS_BYTES.iter().find(|s| s.0 == unit).map(|s| s.1);
        let scale = scale
            .ok_or_else(|| format!("'{text}' has no unit of size; write it like \"64KiB\" or \"3MB\""))?;
        if n * scale > 1e15 {
            return Err(format!("'{text}' is larger than 1000 TB"));
        }
        Ok(Size((n * scale) as u64))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let n = self.0 as f64;
        let whole = |scale: f64| n >= scale && (n / scale).fract() == 0.0;
        let (unit, scale) = SIZE_UNITS_BYTES.into_iter().find(|s| whole(s.1)).unwrap_or(("B", 1.0));
        write!(f, "{}{unit}", format_number(n / scale))
    }
}

string_type!(Size, r"^[0-9]+(\.[0-9]+)?(B|kB|KiB|MB|MiB|GB|GiB)$", "a size, such as \"64KiB\"");

/// A limit: the most calls in any period of a given length. A rate is converted to a whole number of calls,
/// in the shortest period for which the number is whole.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Limit {
    /// The most calls in the period.
    pub calls: u32,
    /// The length of the period.
    pub span: Span,
}

impl Limit {
    /// The average rate that the limit allows, in calls per second.
    pub fn per_second(&self) -> f64 {
        f64::from(self.calls) * 1_000.0 / self.span.0
    }
}

/// The most decimals of a rate.
const MAX_RATE_DECIMALS: u32 = 3;

impl FromStr for Limit {
    type Err = String;
    fn from_str(text: &str) -> Result<Limit, String> {
        let form =
            || format!("'{text}' is not a limit; write a count as \"24 in 2s\" or a rate as \"2.4/s\"");
        let limit = if let Some((calls, span)) = text.split_once(" in ") {
            Limit { calls: calls.trim().parse().map_err(|_| form())?, span: span.trim().parse()? }
        } else {
            let (rate, unit) = text.split_once('/').ok_or_else(form)?;
            let rate: f64 = rate.trim().parse().map_err(|_| form())?;
            let one: Span = format!("1{}", unit.trim()).parse().map_err(|_| form())?;
            let scale = 10u64.pow(MAX_RATE_DECIMALS);
            let parts = (rate * scale as f64).round();
            if !(0.0..=4e9).contains(&parts) || (parts / scale as f64 - rate).abs() > 1e-9 {
                return Err(format!("'{text}' has more than {MAX_RATE_DECIMALS} decimals, or is too large"));
            }
            let (mut a, mut b) = (parts as u64, scale);
            while b > 0 {
                (a, b) = (b, a % b);
            }
            let divisor = a.max(1);
            let calls = u32::try_from(parts as u64 / divisor).map_err(|_| form())?;
            Limit { calls, span: Span(one.0 * (scale / divisor) as f64) }
        };
        if limit.calls == 0 || limit.span.0 < 1.0 {
            return Err(format!("'{text}' allows no calls"));
        }
        Ok(limit)
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}", self.calls, self.span)
    }
}

string_type!(
    Limit,
    r"^([0-9]+ in [0-9]+(\.[0-9]+)?(ms|s|min|h|d)|[0-9]+(\.[0-9]{1,3})?/(s|min|h|d))$",
    "a count in any span, such as \"24 in 2s\", or a rate, such as \"2.4/s\""
);

/// A fraction of a whole, in millionths, so that fractions add up exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Share(pub u32);

/// The whole, in millionths.
pub const WHOLE_MILLIONTHS: u32 = 1_000_000;

impl Share {
    /// The number of calls in this share of `calls`, rounded down, so that shares never add up to more than
    /// `calls`.
    pub fn of_calls(&self, calls: u32) -> u32 {
        (u64::from(calls) * u64::from(self.0) / u64::from(WHOLE_MILLIONTHS)) as u32
    }
}

impl FromStr for Share {
    type Err = String;
    fn from_str(text: &str) -> Result<Share, String> {
        let form = || format!("'{text}' is not a share; write it like \"40%\"");
        let digits = text.strip_suffix('%').ok_or_else(form)?.trim();
        let (whole, part) = digits.split_once('.').unwrap_or((digits, ""));
        if part.len() > 4 {
            return Err(format!("'{text}' has more than 4 decimals"));
        }
        let number = |t: &str| if t.is_empty() { Ok(0) } else { t.parse::<u32>().map_err(|_| form()) };
        let (whole, part) = (number(whole)?, number(&format!("{part:0<4}"))?);
        match whole.checked_mul(10_000).and_then(|w| w.checked_add(part)) {
            Some(n) if n <= WHOLE_MILLIONTHS => Ok(Share(n)),
            _ => Err(format!("'{text}' is more than 100%")),
        }
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", format_number(f64::from(self.0) / 10_000.0))
    }
}

string_type!(Share, r"^[0-9]{1,3}(\.[0-9]{1,4})?%$", "a percentage of the whole, such as \"40%\"");

/// A name of lowercase letters, digits, `-`, `_` and `.`; 64 characters at most, starting with a letter or
/// digit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(pub String);

impl FromStr for Name {
    type Err = String;
    fn from_str(text: &str) -> Result<Name, String> {
        let first = text.bytes().next().is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
        let rest = text.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b));
        match first && rest && text.len() <= 64 {
            true => Ok(Name(text.to_string())),
            false => Err(format!("'{text}' is not a name; use lowercase letters, digits and - _ . (64 at most, a letter or digit first)")),
        }
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::ops::Deref for Name {
    type Target = str;
    fn deref(&self) -> &str {
        &self.0
    }
}

string_type!(Name, r"^[a-z0-9][a-z0-9._-]{0,63}$", "a name of lowercase letters, digits and - _ .");

/// An IP address with a port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Address(pub SocketAddr);

impl FromStr for Address {
    type Err = String;
    fn from_str(text: &str) -> Result<Address, String> {
        let why = || {
            format!(
                "'{text}' is not an address with a port; host names are not resolved, so write it like \"127.0.0.1:6379\""
            )
        };
        text.parse().map(Address).map_err(|_| why())
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

string_type!(Address, r"^.+:[0-9]+$", "an IP address with a port, such as \"127.0.0.1:6379\"");

/// The address of an endpoint: over HTTP, or a topic at an MQTT broker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Target {
    /// The address of an HTTP server.
    Http(SocketAddr),
    /// The address of an MQTT broker, and the topic to publish to.
    Mqtt(SocketAddr, String),
}

impl Target {
    /// The address to connect to.
    pub fn address(&self) -> SocketAddr {
        match self {
            Target::Http(a) | Target::Mqtt(a, _) => *a,
        }
    }
}

impl FromStr for Target {
    type Err = String;
    fn from_str(text: &str) -> Result<Target, String> {
        let Some(rest) = text.strip_prefix("mqtt://") else {
            return text.parse::<Address>().map(|a| Target::Http(a.0));
        };
        let (address, topic) = rest
            .split_once('/')
            .ok_or_else(|| format!("'{text}' has no topic; write it like \"mqtt://ADDRESS:PORT/TOPIC\""))?;
        if topic.is_empty() || topic.contains(['+', '#', '\0']) {
            return Err(format!("'{topic}' is not a topic that messages can be published to"));
        }
        address.parse::<Address>().map(|a| Target::Mqtt(a.0, topic.into()))
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Http(a) => a.fmt(f),
            Target::Mqtt(a, topic) => write!(f, "mqtt://{a}/{topic}"),
        }
    }
}

string_type!(
    Target,
    r"^(mqtt://.+:[0-9]+/.+|.+:[0-9]+)$",
    "\"ADDRESS:PORT\" over HTTP, or \"mqtt://ADDRESS:PORT/TOPIC\""
);

#[cfg(test)]
mod tests;
