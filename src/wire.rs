//! The line protocol: parsing events, writing actions, hosting many independent instances.
//!
//! No decision is taken here. A line that cannot be understood is an error that names the line.

use crate::api::*;
use crate::brain::Brain;
use crate::config::{self, place, Node};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};

/// What ended the conversation before its end of input.
#[derive(Debug)]
pub enum WireError {
    /// The input line of that number is malformed.
    Bad(usize, String),
    /// Reading or writing failed.
    Io(io::Error),
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WireError::Bad(line, what) => write!(f, "input line {line}: {what}"),
            WireError::Io(e) => write!(f, "input or output failed: {e}"),
        }
    }
}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}

/// Bits of a message: handed in again, or from a forwarder that died.
const HANDED_IN_BEFORE: u64 = 2 | 16;
/// Bit of a message whose guess of its work is valid.
const WORK_IS_GUESSED: u64 = 1;

type Parsed<T> = Result<T, String>;

/// One row of a list, as the wire spells it.
struct ListRow {
    target: String,
    zone: String,
    kind: String,
    dest: DestId,
    listing: Listing,
    weight: f64,
}

/// The names of one instance's settings, and the routes that it met.
struct Names {
    of: config::Names,
    routes: BTreeMap<String, RouteId>,
    addresses: Vec<String>,
}

impl Names {
    fn route(&mut self, address: &str) -> RouteId {
        if let Some(&id) = self.routes.get(address) {
            return id;
        }
        let id = self.addresses.len() as RouteId;
        self.routes.insert(address.to_string(), id);
        self.addresses.push(address.to_string());
        id
    }
}

struct Instance {
    brain: Brain,
    names: Names,
    events: Vec<Event>,
    touched: bool,
}

/// Hosts the instances of one process and answers its batches.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<u64, Vec<ListRow>>,
    order: Vec<String>,
}

/// Splits the parts of a line, in the order of the wire.
struct Parts<'a>(std::str::SplitN<'a, char>);

impl<'a> Parts<'a> {
    fn next(&mut self, what: &str) -> Parsed<&'a str> {
        self.0.next().ok_or_else(|| format!("{what} is missing"))
    }
    fn opt(&mut self, what: &str) -> Parsed<Option<&'a str>> {
        Ok(Some(self.next(what)?).filter(|s| *s != "-"))
    }
    fn whole(&mut self, what: &str) -> Parsed<u64> {
        whole(self.next(what)?, what)
    }
    fn number(&mut self, what: &str) -> Parsed<f64> {
        number(self.next(what)?, what)
    }
    fn end(mut self) -> Parsed<()> {
        match self.0.next() {
            None => Ok(()),
            Some(extra) => Err(format!("unexpected text '{extra}'")),
        }
    }
}

fn whole(text: &str, what: &str) -> Parsed<u64> {
    text.parse().map_err(|_| format!("{what} '{text}' is not a whole number"))
}

fn number(text: &str, what: &str) -> Parsed<f64> {
    let n: f64 = text.parse().map_err(|_| format!("{what} '{text}' is not a number"))?;
    if n.is_finite() {
        Ok(n)
    } else {
        Err(format!("{what} '{text}' is not a finite number"))
    }
}

fn outcome(text: &str) -> Parsed<Outcome> {
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

/// What a report tells of the limit; other fields are passed over.
fn report(text: Option<&str>) -> Parsed<Report> {
    let mut report = Report::default();
    for pair in text.unwrap_or("").split(',').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or_else(|| format!("'{pair}' is not name:value"))?;
        let value = number(value, name)?;
        match name {
            "x0" => report.left = Some(value),
            "x1" => report.limit = Some(value),
            _ => {}
        }
    }
    Ok(report)
}

fn parts(line: &str, most: usize) -> Parts<'_> {
    Parts(line.splitn(most, ' '))
}

fn entry(line: &str) -> Parsed<ListRow> {
    let mut p = parts(line, 9);
    if p.next("entry")? != "entry" {
        return Err("an entry line was expected".into());
    }
    let row = ListRow {
        target: p.next("target")?.to_string(),
        zone: p.next("dc")?.to_string(),
        kind: p.next("sku")?.to_string(),
        dest: p.whole("owner_no")?,
        listing: match p.next("lifecycle")? {
            "1" => Listing::Ready,
            "0" => Listing::Draining,
            "2" => Listing::Gone,
            other => return Err(format!("unknown lifecycle '{other}'")),
        },
        weight: p.opt("size")?.map_or(Ok(1.0), |s| number(s, "size"))?,
    };
    p.opt("online_since")?.map_or(Ok(0.0), |s| number(s, "online_since"))?;
    p.end()?;
    Ok(row)
}

impl Host {
    fn instance(&mut self, name: &str) -> Parsed<&mut Instance> {
        let inst = self.instances.get_mut(name).ok_or_else(|| format!("'{name}' has not been enlisted"))?;
        if !inst.touched {
            inst.touched = true;
            self.order.push(name.to_string());
        }
        Ok(inst)
    }

    fn forget(&mut self, name: &str) {
        self.instances.remove(name);
        self.order.retain(|n| n != name);
    }

    fn enlist(&mut self, line: &str) -> Parsed<()> {
        let mut p = parts(line, 4);
        p.next("event")?;
        let name = p.next("forwarder")?.to_string();
        let seed = p.whole("seed")?;
        let json = p.next("params")?;
        let value = config::json("params", json).map_err(|e| e.to_string())?;
        let (settings, of) =
            config::settings(seed, &Node::root("params", &value)).map_err(|e| e.to_string())?;
        let names = Names { of, routes: BTreeMap::new(), addresses: Vec::new() };
        self.forget(&name);
        let fresh = Instance { brain: Brain::new(settings), names, events: Vec::new(), touched: true };
        self.order.push(name.clone());
        self.instances.insert(name, fresh);
        Ok(())
    }

    fn roster(&mut self, line: &str) -> Parsed<()> {
        let mut p = parts(line, 6);
        p.next("event")?;
        let name = p.next("forwarder")?;
        let form = p.next("form")?;
        p.opt("serial")?;
        let slot = p.opt("slot")?.map_or(Ok(0), |s| whole(s, "slot"))?;
        p.end()?;
        if !matches!(form, "0" | "1" | "2" | "3") {
            return Err(format!("unknown form '{form}'"));
        }
        let list = if form == "3" { None } else { self.lists.remove(&slot) };
        let inst = self.instance(name)?;
        let event = match (&list, form) {
            (None, "3") => Event::ListFailed,
            (None, _) => return Err(format!("inventory {slot} was not given")),
            (Some(list), _) => {
                let mut rows = Vec::with_capacity(list.len());
                for r in list {
                    rows.push(Row {
                        route: inst.names.route(&r.target),
                        zone: place(&inst.names.of.zones, &r.zone).unwrap_or(inst.names.of.zones.len()),
                        kind: place(&inst.names.of.kinds, &r.kind).unwrap_or(inst.names.of.kinds.len()),
                        dest: r.dest,
                        listing: r.listing,
                        weight: r.weight,
                    });
                }
                Event::List { rows, whole: form != "0", cached: form == "2" }
            }
        };
        inst.events.push(event);
        if let Some(list) = list {
            self.lists.insert(slot, list);
        }
        Ok(())
    }

    fn arrived(&mut self, line: &str) -> Parsed<()> {
        let mut p = parts(line, 11);
        p.next("event")?;
        let inst = self.instance(p.next("forwarder")?)?;
        let id = p.whole("msg_id")?;
        let class = p.next("type")?;
        let tenant = p.opt("account")?.filter(|t| *t != "0");
        let key = p.opt("resource")?.map(|k| whole(k, "resource")).transpose()?;
        let valid_until = p.number("valid_until")?;
        let work = p.opt("effort")?.map_or(Ok(0.0), |e| number(e, "effort"))?;
        let dest = p.number("called_node")?;
        let bits = p.opt("state_bits")?.map_or(Ok(0), |b| whole(b, "state_bits"))?;
        p.end()?;
        let class = place(&inst.names.of.classes, class);
        inst.events.push(Event::Arrived(Message {
            id,
            class: class.ok_or("unknown type")?,
            tenant: tenant.and_then(|t| place(&inst.names.of.tenants, t)),
            key,
            valid_until,
            dest: dest as DestId,
            again: bits & HANDED_IN_BEFORE != 0,
            work: if bits & WORK_IS_GUESSED != 0 { work } else { 0.0 },
        }));
        Ok(())
    }

    fn ended(&mut self, line: &str) -> Parsed<()> {
        let mut p = parts(line, 11);
        p.next("event")?;
        let inst = self.instance(p.next("forwarder")?)?;
        let id = p.whole("msg_id")?;
        let attempt = p.whole("copy")? as u32;
        let route = inst.names.route(p.next("target")?);
        let outcome = outcome(p.next("ending")?)?;
        let took = p.opt("took")?.map_or(Ok(0.0), |t| number(t, "took"))?;
        let over = p.next("ended")? == "1";
        let note = p.opt("remark_ms")?.map_or(Ok(0.0), |w| number(w, "remark_ms"))?;
        let report = report(p.opt("feedback")?)?;
        p.end()?;
        let wait = if outcome == Outcome::Refused { note } else { 0.0 };
        // The platform counts what it did not send: `unspent` stays false.
        let ended = Ended { took, over, wait, report, ..Ended::of(id, attempt, route, outcome) };
        inst.events.push(Event::Ended(ended));
        Ok(())
    }

    fn probed(&mut self, line: &str) -> Parsed<()> {
        let mut p = parts(line, 7);
        p.next("event")?;
        let inst = self.instance(p.next("forwarder")?)?;
        let outcome = outcome(p.next("ending")?)?;
        let route = inst.names.route(p.next("target")?);
        let took = p.opt("took")?.map_or(Ok(0.0), |t| number(t, "took"))?;
        let report = report(p.opt("feedback")?)?;
        p.end()?;
        inst.events.push(Event::Probed { route, outcome, took, report });
        Ok(())
    }

    fn event(&mut self, line: &str) -> Parsed<()> {
        let word = line.split(' ').next().unwrap_or("");
        match word {
            "enlist" => self.enlist(line),
            "roster_change" => self.roster(line),
            "new_request" => self.arrived(line),
            "answer" => self.ended(line),
            "echo" => self.probed(line),
            "crash_now" => {
                let mut p = parts(line, 3);
                p.next("event")?;
                let name = p.next("forwarder")?;
                p.end()?;
                self.forget(name);
                Ok(())
            }
            "timed_out_client" | "elapsed" => {
                let mut p = parts(line, 4);
                p.next("event")?;
                let inst = self.instance(p.next("forwarder")?)?;
                let n = p.whole("number")?;
                p.end()?;
                inst.events.push(if word == "elapsed" { Event::Timer(n) } else { Event::ClientGone(n) });
                Ok(())
            }
            // Known events on which nothing is decided; they still let the instance act.
            "started" | "datagram" => {
                let mut p = parts(line, 3);
                p.next("event")?;
                self.instance(p.next("forwarder")?).map(|_| ())
            }
            other => Err(format!("unknown message '{other}'")),
        }
    }

    fn reply(&mut self, now: Ms, out: &mut String) {
        for name in std::mem::take(&mut self.order) {
            let Some(inst) = self.instances.get_mut(&name) else { continue };
            inst.touched = false;
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

    /// Answers batches until the input ends.
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
                    Err(WireError::Bad(count, "not UTF-8 text".into()))
                }
                Some(Err(e)) => Err(e.into()),
            }
        };
        while let Some((n, line)) = read()? {
            let (now, batch) = sync(&line).map_err(|e| WireError::Bad(n, e))?;
            loop {
                let cut = || WireError::Bad(n, "the batch that starts here is cut short".into());
                let (n, line) = read()?.ok_or_else(cut)?;
                if line == "eob" {
                    break;
                }
                let bad = |e| WireError::Bad(n, e);
                if let Some(rest) = line.strip_prefix("inventory ") {
                    let mut p = parts(rest, 3);
                    let slot = p.whole("slot").map_err(bad)?;
                    let rows = p.whole("rows_in").map_err(bad)?;
                    p.end().map_err(bad)?;
                    let mut list = Vec::new();
                    for _ in 0..rows {
                        let (n, line) = read()?.ok_or_else(cut)?;
                        list.push(entry(&line).map_err(|e| WireError::Bad(n, e))?);
                    }
                    self.lists.insert(slot, list);
                } else {
                    self.event(&line).map_err(bad)?;
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

fn sync(line: &str) -> Parsed<(Ms, u64)> {
    let mut p = parts(line, 4);
    if p.next("sync")? != "sync" {
        return Err("a sync line was expected".into());
    }
    let head = (p.number("clock")?, p.whole("batch index")?);
    p.end()?;
    Ok(head)
}

fn write_action(out: &mut String, name: &str, names: &Names, action: &Action) {
    let address = |r: &RouteId| names.addresses.get(*r as usize).map_or("", |a| a.as_str());
    let _ = match action {
        Action::Send { id, route, cap: Some(cap) } => {
            writeln!(out, "dispatch {name} {id} {cap:.3} {}", address(route))
        }
        Action::Send { id, route, cap: None } => writeln!(out, "dispatch {name} {id} - {}", address(route)),
        Action::Cancel { id, attempt } => writeln!(out, "retract {name} {id} {attempt}"),
        Action::Deny { id, retry_in } => writeln!(out, "deny {name} {id} {retry_in:.3}"),
        Action::Fail(id) => writeln!(out, "error {name} {id}"),
        Action::Probe(route) => writeln!(out, "test {name} {}", address(route)),
        Action::CloseIdle(route) => writeln!(out, "close_idle {name} {}", address(route)),
        Action::Watch => writeln!(out, "keep_informed {name} 1"),
        Action::Timer { at, token } => writeln!(out, "timer {name} {at:.3} {token}"),
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A told limit of 0 is news (no limit but the capacity); an absent one is not.
    #[test]
    fn a_report_is_read_for_what_it_holds() {
        let read = |text| report(Some(text)).map(|r| (r.left, r.limit));
        assert_eq!(read("x0:0,x1:0"), Ok((Some(0.0), Some(0.0))));
        assert_eq!(read("x1:5.5,later:7,x0:0.25"), Ok((Some(0.25), Some(5.5))));
        assert_eq!(read("x0:0.5"), Ok((Some(0.5), None)));
        assert_eq!(read("later:1"), Ok((None, None)));
        assert_eq!(report(None), Ok(Report::default()));
        assert!(read("x0").is_err() && read("x1:many").is_err());
    }
}
