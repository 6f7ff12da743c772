//! `lilacbank cell status|move|abort|reclaim`: asks the dispatchers of a map.

use super::cli::Format;
use super::{Done, ToolError};
use lilacbank_cells::wire::{plain, Answer, Ask, Envelope, Frames, Kind, Report, Wish};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A dispatcher answers at once, or is not there.
const PATIENCE: Duration = Duration::from_secs(2);
/// How often a move is looked after.
const LOOK: Duration = Duration::from_millis(50);
/// Who asks, to the dispatchers.
const TOOL: &str = "tool";

type Peer = (String, SocketAddr);

/// Asks one dispatcher.
fn ask(peer: &Peer, tenant: &str, ask: Ask, to: &str) -> Result<Answer, ToolError> {
    let (name, address) = peer;
    let lost = |e: &dyn std::fmt::Display| ToolError::Unreached(format!("{name} at {address}: {e}"));
    let mut tcp = TcpStream::connect_timeout(address, PATIENCE).map_err(|e| lost(&e))?;
    tcp.set_read_timeout(Some(PATIENCE)).map_err(|e| lost(&e))?;
    let wish = Some(Wish { ask: ask as i32, to: to.into() });
    let envelope = Envelope { wish, ..plain(TOOL, name, tenant, 0, Kind::Wish) };
    tcp.write_all(&envelope.frame()).map_err(|e| lost(&e))?;
    let (mut frames, mut part) = (Frames::default(), [0; 16 * 1024]);
    loop {
        if let Some(e) = frames.take().map_err(|e| lost(&e))? {
            return e.answer.ok_or_else(|| lost(&"what it says is no answer"));
        }
        match tcp.read(&mut part).map_err(|e| lost(&e))? {
            0 => return Err(lost(&"it has closed the connection")),
            n => frames.push(&part[..n]),
        }
    }
}

/// The reports of all dispatchers that answer; and what the others did.
fn ask_all(peers: &[Peer], tenant: &str) -> (Vec<(String, Report)>, Vec<String>) {
    let (mut reports, mut silent) = (Vec::new(), Vec::new());
    for peer in peers {
        match ask(peer, tenant, Ask::Status, "") {
            Ok(answer) => reports.extend(answer.seats.into_iter().map(|r| (peer.0.clone(), r))),
            Err(e) => silent.push(e.to_string()),
        }
    }
    (reports, silent)
}

/// Is the tenant this dispatcher's, or on its way from it?
fn has_it(r: &Report) -> bool {
    ["settled", "draining", "offered", "committed"].contains(&r.phase.as_str())
}

fn line(at: &str, r: &Report) -> String {
    let other = if r.other.is_empty() { "-" } else { &r.other };
    format!(
        "{} {at} {} {other} epoch {} held {} still {} since {} ms, stood {} ms",
        r.tenant, r.phase, r.epoch, r.held, r.still, r.since, r.stood
    )
}

/// Prints the seats.
pub(super) fn status(peers: &[Peer], tenant: &str, format: Format) -> Done {
    let (mut reports, silent) = ask_all(peers, tenant);
    reports.sort_by(|a, b| (&a.1.tenant, &a.0).cmp(&(&b.1.tenant, &b.0)));
    for (at, r) in &reports {
        match format {
            Format::Text => println!("{}", line(at, r)),
            Format::Json => {
                let value = serde_json::json!({
                    "tenant": r.tenant, "dispatcher": at, "phase": r.phase, "other": r.other, "epoch": r.epoch,
                    "held": r.held, "still": r.still, "since_ms": r.since, "stood_ms": r.stood,
                });
                println!("{value}");
            }
        }
    }
    match silent.is_empty() {
        true => Ok(()),
        false => Err(ToolError::Unreached(silent.join("; "))),
    }
}

/// The dispatcher that has a tenant.
fn owner<'a>(peers: &'a [Peer], tenant: &str) -> Result<&'a Peer, ToolError> {
    let (reports, silent) = ask_all(peers, tenant);
    let at = reports.iter().find(|(_, r)| has_it(r)).map(|(at, _)| at);
    let peer = at.and_then(|at| peers.iter().find(|p| p.0 == *at));
    peer.ok_or_else(|| match silent.is_empty() {
        true => ToolError::Refused(format!("no dispatcher serves '{tenant}'")),
        false => {
            ToolError::Unreached(format!("who serves '{tenant}' does not answer: {}", silent.join("; ")))
        }
    })
}

fn wish(peer: &Peer, tenant: &str, what: Ask, to: &str) -> Result<Report, ToolError> {
    let answer = ask(peer, tenant, what, to)?;
    match answer.refused.is_empty() {
        true => Ok(answer.seats.into_iter().next().unwrap_or_default()),
        false => Err(ToolError::Refused(format!("{}: {}", peer.0, answer.refused))),
    }
}

/// Moves a tenant, and waits.
pub(super) fn start(peers: &[Peer], tenant: &str, to: &str, wait: Duration) -> Done {
    let from = owner(peers, tenant)?;
    let first = wish(from, tenant, Ask::Move, to)?;
    println!("{}", line(&from.0, &first));
    let target = peers.iter().find(|p| p.0 == to);
    let (begun, mut told) = (Instant::now(), first.phase.clone());
    while begun.elapsed() < wait {
        std::thread::sleep(LOOK);
        let there = target.and_then(|p| ask(p, tenant, Ask::Status, "").ok());
        if let Some(r) = there.and_then(|a| a.seats.into_iter().next()) {
            // It may have been moved on since.
            if has_it(&r) && r.epoch > first.epoch {
                println!("{}", line(to, &r));
                return Ok(());
            }
        }
        let Ok(here) = ask(from, tenant, Ask::Status, "") else { continue };
        let Some(r) = here.seats.into_iter().next() else { continue };
        if r.phase != told {
            println!("{}", line(&from.0, &r));
            told = r.phase.clone();
        }
        if r.phase == "settled" {
            let why = "the move was taken back; the dispatcher's log tells why";
            return Err(ToolError::Refused(format!("{}: {why}", from.0)));
        }
    }
    let why = format!("'{tenant}' is {told} at {} after {} s; it goes on", from.0, wait.as_secs());
    Err(ToolError::Unreached(why))
}

/// Takes a move back.
pub(super) fn abort(peers: &[Peer], tenant: &str) -> Done {
    let from = owner(peers, tenant)?;
    println!("{}", line(&from.0, &wish(from, tenant, Ask::Abort, "")?));
    Ok(())
}

/// Takes back what was handed over to a dispatcher that is gone.
pub(super) fn reclaim(peers: &[Peer], tenant: &str, gone: &str) -> Done {
    let (reports, _) = ask_all(peers, tenant);
    if reports.iter().any(|(at, _)| at == gone) {
        return Err(ToolError::Refused(format!("{gone} is there and answers; move the tenant from there")));
    }
    let waits = |(_, r): &&(String, Report)| r.phase == "committed" && r.other == gone;
    let Some((at, _)) = reports.iter().find(waits) else {
        return Err(ToolError::Refused(format!("no dispatcher waits for {gone} with '{tenant}'")));
    };
    let Some(peer) = peers.iter().find(|p| p.0 == *at) else { return Ok(()) };
    println!("{}", line(at, &wish(peer, tenant, Ask::Reclaim, "")?));
    Ok(())
}
