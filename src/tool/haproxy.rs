//! Imports HAProxy's configuration format. Directives with an exact counterpart are mapped: backends become
//! destinations, their servers become endpoints, and timeouts, connection limits, retries and health checks
//! become settings. Every other directive is reported with its line; none is ignored silently.

use lilacbank_settings::served::{DispatcherConfig, ListedEndpoint};

/// A directive that was not mapped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedDirective {
    /// The line, counted from 1.
    pub line: usize,
    /// The directive, and why it was not mapped.
    pub why: String,
}

/// Splits a line into words as HAProxy does, with its quotes, backslashes and comments. An unclosed quote is
/// an error.
fn words(line: &str) -> Result<Vec<String>, &'static str> {
    let mut words = Vec::new();
    let mut word: Option<String> = None;
    let mut quote = None;
    let mut chars = line.chars();
    while let Some(c) = chars.next() {
        match (c, quote) {
            ('\\', None | Some('"')) => {
                let next = chars.next().unwrap_or('\\');
                word.get_or_insert_default().push(next);
            }
            (c, Some(q)) if c == q => quote = None,
            (c, Some(_)) => word.get_or_insert_default().push(c),
            ('"' | '\'', None) => {
                quote = Some(c);
                word.get_or_insert_default();
            }
            ('#', None) => break,
            (c, None) if c.is_whitespace() => words.extend(word.take()),
            (c, None) => word.get_or_insert_default().push(c),
        }
    }
    words.extend(word);
    if quote.is_some() {
        return Err("a quote is not closed");
    }
    Ok(words)
}

/// Parses a time and returns milliseconds; a number without a unit is in milliseconds.
fn time(text: &str) -> Option<f64> {
    let split = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (digits, unit) = text.split_at(split);
    let n: f64 = digits.parse().ok()?;
    let scale = match unit {
        "us" => 0.001,
        "" | "ms" => 1.0,
        "s" => 1_000.0,
        "m" => 60_000.0,
        "h" => 3_600_000.0,
        "d" => 86_400_000.0,
        _ => return None,
    };
    Some(n * scale)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Section {
    None,
    Global,
    Defaults,
    Frontend,
    Backend,
    Listen,
    Other,
}

/// A setting that exists once per dispatcher: the first value is used, and a different one later is an error.
#[derive(Debug, Default)]
struct SharedSetting(Option<f64>);

impl SharedSetting {
    fn set(&mut self, value: f64) -> Result<(), String> {
        match self.0 {
            Some(old) if old != value => {
                Err(format!("the dispatcher has only one such setting, and it is already {old}"))
            }
            _ => {
                self.0 = Some(value);
                Ok(())
            }
        }
    }
}

#[derive(Debug, Default)]
struct Import {
    connect: SharedSetting,
    server: SharedSetting,
    keepalive: SharedSetting,
    retries: SharedSetting,
    max_open: SharedSetting,
    listen: Option<String>,
    probes: bool,
    dest: u32,
    backends: Vec<String>,
    endpoints: Vec<ListedEndpoint>,
    slots: u32,
    /// The connection limit of servers in this section that have none of their own.
    server_limit: Option<u32>,
    /// The connection limit from `defaults`, for servers whose section has none.
    default_limit: Option<u32>,
}

/// Converts an HAProxy configuration; also returns the directives that were not mapped.
pub fn import(text: &str) -> (DispatcherConfig, Vec<SkippedDirective>) {
    let mut skipped = Vec::new();
    let mut i = Import::default();
    let mut section = Section::None;
    for (n, line) in text.lines().enumerate() {
        let done = words(line).map_err(String::from).and_then(|words| match words.first() {
            None => Ok(()),
            Some(first) => {
                let opened = i.open(first, &words, &mut section);
                opened.unwrap_or_else(|| i.directive(section, &words, &mut skipped, n + 1))
            }
        });
        if let Err(why) = done {
            skipped.push(SkippedDirective { line: n + 1, why: format!("'{}': {why}", line.trim()) });
        }
    }
    (i.finish(), skipped)
}

const NO_COUNTERPART: &str = "no counterpart";

impl Import {
    /// Starts a section if `first` is the keyword of one; otherwise returns none.
    fn open(&mut self, first: &str, words: &[String], section: &mut Section) -> Option<Result<(), String>> {
        *section = match first {
            "global" => Section::Global,
            "defaults" => Section::Defaults,
            "frontend" => Section::Frontend,
            "backend" => Section::Backend,
            "listen" => Section::Listen,
            "peers" | "userlist" | "resolvers" | "mailers" | "cache" | "program" | "ring" | "http-errors"
            | "log-forward" | "fcgi-app" | "crt-store" | "traces" => Section::Other,
            _ => return None,
        };
        if matches!(section, Section::Backend | Section::Listen) {
            let Some(name) = words.get(1) else { return Some(Err("expected a name".into())) };
            self.dest += 1;
            self.backends.push(name.clone());
            self.server_limit = None;
        }
        Some(if *section == Section::Other { Err(NO_COUNTERPART.into()) } else { Ok(()) })
    }

    fn directive(
        &mut self,
        section: Section,
        words: &[String],
        skipped: &mut Vec<SkippedDirective>,
        line: usize,
    ) -> Result<(), String> {
        use Section::*;
        let word = |n: usize| words.get(n).map_or("", |w| w.as_str());
        let proxies = matches!(section, Defaults | Backend | Listen);
        let span = |n: usize| time(word(n)).ok_or_else(|| format!("'{}' is not a time", word(n)));
        match (word(0), word(1)) {
            ("timeout", "connect") if proxies => self.connect.set(span(2)?),
            ("timeout", "server") if proxies => self.server.set(span(2)?),
            ("timeout", "http-keep-alive") if proxies => self.keepalive.set(span(2)?),
            ("retries", n) if proxies => {
                let n: u32 = n.parse().map_err(|_| "expected a number")?;
                self.retries.set(f64::from(n) + 1.0)
            }
            ("maxconn", n) if matches!(section, Global | Defaults | Frontend | Listen) => {
                let n: u32 = n.parse().map_err(|_| "expected a number")?;
                self.max_open.set(f64::from(n))
            }
            ("option", "httpchk") if proxies && words.len() == 2 => {
                self.probes = true;
                Ok(())
            }
            ("option", "httpchk") if proxies => {
                self.probes = true;
                Err("endpoints are probed, but always with GET /health".into())
            }
            ("bind", to) if matches!(section, Frontend | Listen) => self.bind(to, &words[1..]),
            ("default-server", _) if proxies => {
                let limit = self.server_words(&words[1..], skipped, line);
                match section {
                    Defaults => self.default_limit = limit.or(self.default_limit),
                    _ => self.server_limit = limit.or(self.server_limit),
                }
                Ok(())
            }
            ("server", _) if matches!(section, Backend | Listen) => self.server(words, skipped, line),
            _ => Err(NO_COUNTERPART.into()),
        }
    }

    fn bind(&mut self, to: &str, words: &[String]) -> Result<(), String> {
        let full = match to.strip_prefix('*').unwrap_or(to) {
            port if port.starts_with(':') => format!("0.0.0.0{port}"),
            address => address.to_string(),
        };
        if full.parse::<std::net::SocketAddr>().is_err() {
            return Err("not a single IP address with a port".into());
        }
        if self.listen.as_ref().is_some_and(|l| *l != full) {
            return Err("clients connect at one address only, and it is already set".into());
        }
        self.listen = Some(full);
        match words.len() {
            1 => Ok(()),
            _ => Err(format!("the address is imported; '{}' has {NO_COUNTERPART}", words[1..].join(" "))),
        }
    }

    fn server(
        &mut self,
        words: &[String],
        skipped: &mut Vec<SkippedDirective>,
        line: usize,
    ) -> Result<(), String> {
        let [_, name, address, rest @ ..] = words else {
            return Err("expected a name and an address".into());
        };
        if address.parse::<std::net::SocketAddr>().is_err() {
            return Err(
                "the server is not imported: expected an IP address with a port; host names are not resolved"
                    .into(),
            );
        }
        if rest.iter().any(|w| w == "disabled" || w == "backup") {
            return Err("the server is not imported: it is disabled or a backup".into());
        }
        let limit = self.server_words(rest, skipped, line).or(self.server_limit).or(self.default_limit);
        self.slots += limit.unwrap_or(0);
        let kind = self.backends.last().cloned().unwrap_or_default();
        let uid = format!("{kind}/{name}");
        if self.endpoints.iter().any(|w| w.uid == uid) {
            return Err("the server is not imported: its name is already used".into());
        }
        let state = "in_service".into();
        let (endpoint, pod_group) = (address.clone(), u64::from(self.dest));
        self.endpoints.push(ListedEndpoint {
            uid,
            endpoint,
            pod_group,
            model: kind,
            state,
            ..ListedEndpoint::default()
        });
        Ok(())
    }

    /// Reads the words after a server's address; returns the server's connection limit.
    fn server_words(
        &mut self,
        words: &[String],
        skipped: &mut Vec<SkippedDirective>,
        line: usize,
    ) -> Option<u32> {
        let mut limit = None;
        let mut unmapped = Vec::new();
        let mut words = words.iter().map(String::as_str);
        while let Some(word) = words.next() {
            match word {
                "check" => self.probes = true,
                "maxconn" => match words.next().map(str::parse) {
                    Some(Ok(n)) => limit = Some(n),
                    _ => unmapped.push("maxconn without a number"),
                },
                other => unmapped.push(other),
            }
        }
        if !unmapped.is_empty() {
            let why = format!("the server's options '{}': {NO_COUNTERPART}", unmapped.join(" "));
            skipped.push(SkippedDirective { line, why });
        }
        limit
    }

    fn finish(self) -> DispatcherConfig {
        let mut served = super::default_config();
        served.known.targets = self.endpoints;
        served.listen = self.listen.or(served.listen);
        let settings = &mut served.settings;
        let c = &mut settings.ceilings;
        c.probes = self.probes;
        c.connect_timeout = self.connect.0.unwrap_or(c.connect_timeout);
        c.keepalive = self.keepalive.0.unwrap_or(c.keepalive);
        c.most_tries = self.retries.0.map_or(c.most_tries, |n| n as u32);
        c.max_open = self.max_open.0.map_or(c.max_open, |n| n as u32);
        if self.slots > 0 {
            settings.family_info.slots = self.slots;
        }
        if let (Some(deadline), [class]) = (self.server.0, &mut settings.classes[..]) {
            (class.deadline, class.window) = (deadline, deadline);
            class.promise = class.promise.map(|p| p.min(deadline));
        }
        if !self.backends.is_empty() {
            settings.kinds = self.backends;
            settings.kinds.dedup();
        }
        served
    }
}

#[cfg(test)]
mod tests;
