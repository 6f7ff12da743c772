//! The simulator's line protocol: parses events, writes actions, and hosts many independent decision modules.
//!
//! This module takes no decisions. A malformed line is an error that gives the line's number.

use crate::api::*;
use crate::brain::DecisionModule;
use crate::config::{self, index_of, Node};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};

/// Why the adapter stopped before the end of its input.
#[derive(Debug)]
pub enum WireError {
    /// The input line of this number is malformed.
    Malformed(usize, String),
    /// Reading or writing failed.
    Io(io::Error),
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WireError::Malformed(line, what) => write!(f, "input line {line}: {what}"),
            WireError::Io(e) => write!(f, "input or output failed: {e}"),
        }
    }
}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}

/// Bits in a message's `state_bits` that mark it as submitted before: by its client, or to a forwarder that
/// died.
const SUBMITTED_BEFORE_BITS: u64 = 2 | 16;
/// Bit in a message's `state_bits` that marks its estimate of work (`effort`) as valid.
const WORK_ESTIMATE_BIT: u64 = 1;

type ParseResult<T> = Result<T, String>;

/// One row of an endpoint list, with names instead of numbers.
struct ListRow {
    target: String,
    zone: String,
    kind: String,
    dest: DestId,
    listing: ServiceState,
    weight: f64,
}

/// The names in one instance's settings, and the numbers given to endpoint addresses.
struct Names {
    settings: config::Names,
    routes: BTreeMap<String, EndpointId>,
    /// Addresses in the order of their numbers.
    addresses: Vec<String>,
}

impl Names {
    /// The number of an address; a new address gets the next number.
    fn route(&mut self, address: &str) -> EndpointId {
        if let Some(&id) = self.routes.get(address) {
            return id;
        }
        let id = self.addresses.len() as EndpointId;
        self.routes.insert(address.to_string(), id);
        self.addresses.push(address.to_string());
        id
    }
}

/// A decision module with the events of the current batch.
struct Instance {
    brain: DecisionModule,
    names: Names,
    events: Vec<Event>,
    /// It is in `reply_order` for the current batch.
    in_reply_order: bool,
}

/// Hosts the instances of one process and answers batches of events.
#[derive(Default)]
pub struct AdapterHost {
    instances: BTreeMap<String, Instance>,
    /// Endpoint lists by slot.
    inventories: BTreeMap<u64, Vec<ListRow>>,
    /// Names of the instances that the current batch addressed, in the order of their first event.
    reply_order: Vec<String>,
}

/// The fields of a line, separated by single spaces and read in order. `-` stands for an absent optional
/// field.
struct LineFields<'a>(std::str::SplitN<'a, char>);

impl<'a> LineFields<'a> {
    fn next(&mut self, what: &str) -> ParseResult<&'a str> {
        self.0.next().ok_or_else(|| format!("{what} is missing"))
    }
    fn optional(&mut self, what: &str) -> ParseResult<Option<&'a str>> {
        Ok(Some(self.next(what)?).filter(|s| *s != "-"))
    }
    fn integer(&mut self, what: &str) -> ParseResult<u64> {
        parse_integer(self.next(what)?, what)
    }
    fn number(&mut self, what: &str) -> ParseResult<f64> {
        parse_number(self.next(what)?, what)
    }
    fn end(mut self) -> ParseResult<()> {
        match self.0.next() {
            None => Ok(()),
            Some(extra) => Err(format!("unexpected text '{extra}'")),
        }
    }
}

fn parse_integer(text: &str, what: &str) -> ParseResult<u64> {
    text.parse().map_err(|_| format!("{what} '{text}' is not a whole number"))
}

fn parse_number(text: &str, what: &str) -> ParseResult<f64> {
    let n: f64 = text.parse().map_err(|_| format!("{what} '{text}' is not a number"))?;
    if n.is_finite() {
        Ok(n)
    } else {
        Err(format!("{what} '{text}' is not a finite number"))
    }
}

fn parse_outcome(text: &str) -> ParseResult<Outcome> {
    Ok(match text {
        "GOOD" => Outcome::Delivered,
        "BAD" => Outcome::Error,
        "FULL" => Outcome::Refused,
        "LATE" => Outcome::Late,
        "NOCONN" => Outcome::NoConnection,
        "RST" => Outcome::Reset,
        "CXL" => Outcome::Cancelled,
        "NOP" => Outcome::NotSent,
        _ => return Err(format!("unknown outcome '{text}'")),
    })
}

/// Parses what an endpoint reports about its limit; unknown fields are ignored.
fn parse_report(text: Option<&str>) -> ParseResult<LimitReport> {
    let mut report = LimitReport::default();
    for pair in text.unwrap_or("").split(',').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or_else(|| format!("'{pair}' is not name:value"))?;
        let value = parse_number(value, name)?;
        match name {
            "x0" => report.remaining_share = Some(value),
            "x1" => report.limit = Some(value),
            _ => {}
        }
    }
    Ok(report)
}

/// Splits a line into at most `max` fields; the last one holds the rest of the line.
fn line_fields(line: &str, max: usize) -> LineFields<'_> {
    LineFields(line.splitn(max, ' '))
}

fn parse_entry(line: &str) -> ParseResult<ListRow> {
    let mut fields = line_fields(line, 9);
    if fields.next("entry")? != "entry" {
        return Err("an entry line was expected".into());
    }
    let row = ListRow {
        target: fields.next("target")?.to_string(),
        zone: fields.next("dc")?.to_string(),
        kind: fields.next("sku")?.to_string(),
        dest: fields.integer("owner_no")?,
        listing: match fields.next("lifecycle")? {
            "1" => ServiceState::InService,
            "0" => ServiceState::Draining,
            "2" => ServiceState::Removed,
            other => return Err(format!("unknown lifecycle '{other}'")),
        },
        weight: fields.optional("size")?.map_or(Ok(1.0), |s| parse_number(s, "size"))?,
    };
    fields.optional("online_since")?.map_or(Ok(0.0), |s| parse_number(s, "online_since"))?;
    fields.end()?;
    Ok(row)
}

impl AdapterHost {
    /// The instance of this name, which then takes part in the reply to the current batch.
    fn instance(&mut self, name: &str) -> ParseResult<&mut Instance> {
        let inst = self.instances.get_mut(name).ok_or_else(|| format!("'{name}' has not been enlisted"))?;
        if !inst.in_reply_order {
            inst.in_reply_order = true;
            self.reply_order.push(name.to_string());
        }
        Ok(inst)
    }

    fn remove_instance(&mut self, name: &str) {
        self.instances.remove(name);
        self.reply_order.retain(|n| n != name);
    }

    fn enlist(&mut self, line: &str) -> ParseResult<()> {
        let mut fields = line_fields(line, 4);
        fields.next("event")?;
        let name = fields.next("forwarder")?.to_string();
        let seed = fields.integer("seed")?;
        let json = fields.next("params")?;
        let value = config::parse_json("params", json).map_err(|e| e.to_string())?;
        let (settings, setting_names) =
            config::parse_settings(seed, &Node::root("params", &value)).map_err(|e| e.to_string())?;
        let names = Names { settings: setting_names, routes: BTreeMap::new(), addresses: Vec::new() };
        self.remove_instance(&name);
        let instance = Instance {
            brain: DecisionModule::new(settings),
            names,
            events: Vec::new(),
            in_reply_order: true,
        };
        self.reply_order.push(name.clone());
        self.instances.insert(name, instance);
        Ok(())
    }

    fn roster_change(&mut self, line: &str) -> ParseResult<()> {
        let mut fields = line_fields(line, 6);
        fields.next("event")?;
        let name = fields.next("forwarder")?;
        let form = fields.next("form")?;
        fields.optional("serial")?;
        let slot = fields.optional("slot")?.map_or(Ok(0), |s| parse_integer(s, "slot"))?;
        fields.end()?;
        if !matches!(form, "0" | "1" | "2" | "3") {
            return Err(format!("unknown form '{form}'"));
        }
        let list = if form == "3" { None } else { self.inventories.remove(&slot) };
        let inst = self.instance(name)?;
        let event = match (&list, form) {
            (None, "3") => Event::EndpointListFailed,
            (None, _) => return Err(format!("inventory {slot} was not given")),
            (Some(list), _) => {
                let mut rows = Vec::with_capacity(list.len());
                for r in list {
                    rows.push(EndpointEntry {
                        endpoint: inst.names.route(&r.target),
                        zone: index_of(&inst.names.settings.zones, &r.zone)
                            .unwrap_or(inst.names.settings.zones.len()),
                        kind: index_of(&inst.names.settings.kinds, &r.kind)
                            .unwrap_or(inst.names.settings.kinds.len()),
                        dest: r.dest,
                        state: r.listing,
                        weight: r.weight,
                    });
                }
                Event::EndpointList { rows, complete: form != "0", cached: form == "2" }
            }
        };
        inst.events.push(event);
        if let Some(list) = list {
            self.inventories.insert(slot, list);
        }
        Ok(())
    }

    fn new_request(&mut self, line: &str) -> ParseResult<()> {
        let mut fields = line_fields(line, 11);
        fields.next("event")?;
        let inst = self.instance(fields.next("forwarder")?)?;
        let id = fields.integer("msg_id")?;
        let class = fields.next("type")?;
        let tenant = fields.optional("account")?.filter(|t| *t != "0");
        let key = fields.optional("resource")?.map(|k| parse_integer(k, "resource")).transpose()?;
        let valid_until = fields.number("valid_until")?;
        let work = fields.optional("effort")?.map_or(Ok(0.0), |e| parse_number(e, "effort"))?;
        let dest = fields.number("called_node")?;
        let bits = fields.optional("state_bits")?.map_or(Ok(0), |b| parse_integer(b, "state_bits"))?;
        fields.end()?;
        let class = index_of(&inst.names.settings.classes, class);
        inst.events.push(Event::MessageArrived(Message {
            id,
            class: class.ok_or("unknown type")?,
            tenant: tenant.and_then(|t| index_of(&inst.names.settings.tenants, t)),
            key,
            valid_until,
            dest: dest as DestId,
            resubmitted: bits & SUBMITTED_BEFORE_BITS != 0,
            estimated_work: if bits & WORK_ESTIMATE_BIT != 0 { work } else { 0.0 },
        }));
        Ok(())
    }

    fn answer(&mut self, line: &str) -> ParseResult<()> {
        let mut fields = line_fields(line, 11);
        fields.next("event")?;
        let inst = self.instance(fields.next("forwarder")?)?;
        let id = fields.integer("msg_id")?;
        let attempt = fields.integer("copy")? as u32;
        let route = inst.names.route(fields.next("target")?);
        let outcome = parse_outcome(fields.next("ending")?)?;
        let took = fields.optional("took")?.map_or(Ok(0.0), |t| parse_number(t, "took"))?;
        let over = fields.next("ended")? == "1";
        let remark = fields.optional("remark_ms")?.map_or(Ok(0.0), |w| parse_number(w, "remark_ms"))?;
        let report = parse_report(fields.optional("feedback")?)?;
        fields.end()?;
        let wait = if outcome == Outcome::Refused { remark } else { 0.0 };
        // The simulator counts an attempt even if nothing of it was sent, so `not_counted` stays false.
        let ended = AttemptEnd {
            took,
            message_ended: over,
            retry_after: wait,
            report,
            ..AttemptEnd::new(id, attempt, route, outcome)
        };
        inst.events.push(Event::AttemptEnded(ended));
        Ok(())
    }

    fn echo(&mut self, line: &str) -> ParseResult<()> {
        let mut fields = line_fields(line, 7);
        fields.next("event")?;
        let inst = self.instance(fields.next("forwarder")?)?;
        let outcome = parse_outcome(fields.next("ending")?)?;
        let route = inst.names.route(fields.next("target")?);
        let took = fields.optional("took")?.map_or(Ok(0.0), |t| parse_number(t, "took"))?;
        let report = parse_report(fields.optional("feedback")?)?;
        fields.end()?;
        inst.events.push(Event::ProbeEnded { endpoint: route, outcome, took, report });
        Ok(())
    }

    fn event(&mut self, line: &str) -> ParseResult<()> {
        let kind = line.split(' ').next().unwrap_or("");
        match kind {
            "enlist" => self.enlist(line),
            "roster_change" => self.roster_change(line),
            "new_request" => self.new_request(line),
            "answer" => self.answer(line),
            "echo" => self.echo(line),
            "crash_now" => {
                let mut fields = line_fields(line, 3);
                fields.next("event")?;
                let name = fields.next("forwarder")?;
                fields.end()?;
                self.remove_instance(name);
                Ok(())
            }
            "timed_out_client" | "elapsed" => {
                let mut fields = line_fields(line, 4);
                fields.next("event")?;
                let inst = self.instance(fields.next("forwarder")?)?;
                let n = fields.integer("number")?;
                fields.end()?;
                inst.events.push(if kind == "elapsed" { Event::Timer(n) } else { Event::ClientLeft(n) });
                Ok(())
            }
            // Events without content for the decision module; the instance still runs a step in this batch.
            "started" | "datagram" => {
                let mut fields = line_fields(line, 3);
                fields.next("event")?;
                self.instance(fields.next("forwarder")?).map(|_| ())
            }
            other => Err(format!("unknown message '{other}'")),
        }
    }

    /// Runs one step of each instance that the batch addressed and writes its actions.
    fn reply(&mut self, now: Ms, out: &mut String) {
        for name in std::mem::take(&mut self.reply_order) {
            let Some(inst) = self.instances.get_mut(&name) else { continue };
            inst.in_reply_order = false;
            let events = std::mem::take(&mut inst.events);
            let mut actions = Vec::new();
            let step = std::panic::AssertUnwindSafe(|| inst.brain.step(now, &events, &mut actions));
            if std::panic::catch_unwind(step).is_err() {
                let _ = writeln!(out, "crash {name} the decision module panicked");
                continue;
            }
            for a in &actions {
                write_action(out, &name, &inst.names, a);
            }
        }
    }

    /// Answers batches until the end of the input.
    pub fn run(&mut self, input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
        let mut lines = input.lines();
        let mut count = 0usize;
        let mut out = String::new();
        let mut read = || -> Result<Option<(usize, String)>, WireError> {
            count += 1;
            match lines.next() {
                None => Ok(None),
                Some(Ok(line)) => Ok(Some((count, line))),
                Some(Err(e)) if e.kind() == io::ErrorKind::InvalidData => {
                    Err(WireError::Malformed(count, "not UTF-8 text".into()))
                }
                Some(Err(e)) => Err(e.into()),
            }
        };
        while let Some((n, line)) = read()? {
            let (now, batch) = parse_sync(&line).map_err(|e| WireError::Malformed(n, e))?;
            loop {
                let incomplete = || WireError::Malformed(n, "the batch that starts here is cut short".into());
                let (n, line) = read()?.ok_or_else(incomplete)?;
                if line == "eob" {
                    break;
                }
                let malformed = |e| WireError::Malformed(n, e);
                if let Some(text) = line.strip_prefix("inventory ") {
                    let mut fields = line_fields(text, 3);
                    let slot = fields.integer("slot").map_err(malformed)?;
                    let rows = fields.integer("rows_in").map_err(malformed)?;
                    fields.end().map_err(malformed)?;
                    let mut list = Vec::new();
                    for _ in 0..rows {
                        let (n, line) = read()?.ok_or_else(incomplete)?;
                        list.push(parse_entry(&line).map_err(|e| WireError::Malformed(n, e))?);
                    }
                    self.inventories.insert(slot, list);
                } else {
                    self.event(&line).map_err(malformed)?;
                }
            }
            out.clear();
            self.reply(now, &mut out);
            let _ = writeln!(out, "ok {batch}");
            output.write_all(out.as_bytes())?;
            output.flush()?;
        }
        Ok(())
    }
}

fn parse_sync(line: &str) -> ParseResult<(Ms, u64)> {
    let mut fields = line_fields(line, 4);
    if fields.next("sync")? != "sync" {
        return Err("a sync line was expected".into());
    }
    let head = (fields.number("clock")?, fields.integer("batch index")?);
    fields.end()?;
    Ok(head)
}

fn write_action(out: &mut String, name: &str, names: &Names, action: &Action) {
    let address = |r: &EndpointId| names.addresses.get(*r as usize).map_or("", |a| a.as_str());
    let _ = match action {
        Action::Send { id, endpoint: route, timeout: Some(cap) } => {
            writeln!(out, "dispatch {name} {id} {cap:.3} {}", address(route))
        }
        Action::Send { id, endpoint: route, timeout: None } => {
            writeln!(out, "dispatch {name} {id} - {}", address(route))
        }
        Action::Cancel { id, attempt } => writeln!(out, "retract {name} {id} {attempt}"),
        Action::Return { id, retry_after: retry_in } => writeln!(out, "deny {name} {id} {retry_in:.3}"),
        Action::GiveUp(id) => writeln!(out, "error {name} {id}"),
        Action::Probe(route) => writeln!(out, "test {name} {}", address(route)),
        Action::CloseIdleConnections(route) => writeln!(out, "close_idle {name} {}", address(route)),
        Action::WatchEndpointList => writeln!(out, "keep_informed {name} 1"),
        Action::Timer { at, token } => writeln!(out, "timer {name} {at:.3} {token}"),
    };
}

#[cfg(test)]
mod tests;
