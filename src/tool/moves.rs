//! `lilacbank cell status|move|abort|reclaim`: queries and commands to the dispatchers of a map.

use super::cli::Format;
use super::{ToolError, ToolResult};
use lilacbank_cells::wire::{
    envelope_of_kind, Envelope, FrameDecoder, MessageKind, OwnershipReport, ToolAnswer, ToolRequest,
    ToolRequestKind,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The timeout for connecting and for an answer. A dispatcher answers immediately, or is not running.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which the progress of a move is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The sender's name in messages from this tool to dispatchers.
const SENDER_NAME: &str = "tool";

/// The name of a dispatcher and its address for peers.
type Peer = (String, SocketAddr);

/// Sends a request to one dispatcher and waits for the answer.
fn query(peer: &Peer, tenant: &str, ask: ToolRequestKind, to: &str) -> Result<ToolAnswer, ToolError> {
    let (name, address) = peer;
    let failed = |e: &dyn std::fmt::Display| ToolError::Failed(format!("{name} at {address}: {e}"));
    let mut tcp = TcpStream::connect_timeout(address, ANSWER_TIMEOUT).map_err(|e| failed(&e))?;
    tcp.set_read_timeout(Some(ANSWER_TIMEOUT)).map_err(|e| failed(&e))?;
    let wish = Some(ToolRequest { kind: ask as i32, to: to.into() });
    let envelope = Envelope {
        tool_request: wish,
        ..envelope_of_kind(SENDER_NAME, name, tenant, 0, MessageKind::ToolRequest)
    };
    tcp.write_all(&envelope.frame()).map_err(|e| failed(&e))?;
    let (mut frames, mut buffer) = (FrameDecoder::default(), [0; 16 * 1024]);
    loop {
        if let Some(e) = frames.next_envelope().map_err(|e| failed(&e))? {
            return e.answer.ok_or_else(|| failed(&"the message that it sent is not an answer"));
        }
        match tcp.read(&mut buffer).map_err(|e| failed(&e))? {
            0 => return Err(failed(&"it closed the connection without an answer")),
            n => frames.push(&buffer[..n]),
        }
    }
}

/// The status reports of all dispatchers that answer, and an error text for each of the others.
fn query_status(peers: &[Peer], tenant: &str) -> (Vec<(String, OwnershipReport)>, Vec<String>) {
    let (mut reports, mut failures) = (Vec::new(), Vec::new());
    for peer in peers {
        match query(peer, tenant, ToolRequestKind::Status, "") {
            Ok(answer) => reports.extend(answer.ownerships.into_iter().map(|r| (peer.0.clone(), r))),
            Err(e) => failures.push(e.to_string()),
        }
    }
    (reports, failures)
}

/// Whether the dispatcher that sent the report owns the tenant, or is handing it over.
fn owns_tenant(r: &OwnershipReport) -> bool {
    ["settled", "draining", "offered", "committed"].contains(&r.phase.as_str())
}

/// Formats a status report as one line.
fn format_report(at: &str, r: &OwnershipReport) -> String {
    let other = if r.peer.is_empty() { "-" } else { &r.peer };
    format!(
        "{} {at} {} {other} epoch {} held {} still {} since {} ms, stood {} ms",
        r.tenant, r.phase, r.epoch, r.held, r.suspended, r.phase_ms, r.last_suspension_ms
    )
}

/// Prints which dispatcher owns each tenant, and the progress of moves.
pub(super) fn status(peers: &[Peer], tenant: &str, format: Format) -> ToolResult {
    let (mut reports, failures) = query_status(peers, tenant);
    reports.sort_by(|a, b| (&a.1.tenant, &a.0).cmp(&(&b.1.tenant, &b.0)));
    for (at, r) in &reports {
        match format {
            Format::Text => println!("{}", format_report(at, r)),
            Format::Json => {
                let value = serde_json::json!({
                    "tenant": r.tenant, "dispatcher": at, "phase": r.phase, "other": r.peer, "epoch": r.epoch,
                    "held": r.held, "still": r.suspended, "since_ms": r.phase_ms, "stood_ms": r.last_suspension_ms,
                });
                println!("{value}");
            }
        }
    }
    match failures.is_empty() {
        true => Ok(()),
        false => Err(ToolError::Failed(failures.join("; "))),
    }
}

/// The dispatcher that owns a tenant.
fn owner<'a>(peers: &'a [Peer], tenant: &str) -> Result<&'a Peer, ToolError> {
    let (reports, failures) = query_status(peers, tenant);
    let at = reports.iter().find(|(_, r)| owns_tenant(r)).map(|(at, _)| at);
    let peer = at.and_then(|at| peers.iter().find(|p| p.0 == *at));
    peer.ok_or_else(|| match failures.is_empty() {
        true => ToolError::Refused(format!("no dispatcher serves '{tenant}'")),
        false => ToolError::Failed(format!(
            "no dispatcher that answers serves '{tenant}'; no answer from: {}",
            failures.join("; ")
        )),
    })
}

/// Sends a command and returns the resulting status; a refusal is an error.
fn request(peer: &Peer, tenant: &str, what: ToolRequestKind, to: &str) -> Result<OwnershipReport, ToolError> {
    let answer = query(peer, tenant, what, to)?;
    match answer.rejected.is_empty() {
        true => Ok(answer.ownerships.into_iter().next().unwrap_or_default()),
        false => Err(ToolError::Refused(format!("{}: {}", peer.0, answer.rejected))),
    }
}

/// Moves a tenant, and waits until the target serves it or the wait ends.
pub(super) fn start(peers: &[Peer], tenant: &str, to: &str, wait: Duration) -> ToolResult {
    let from = owner(peers, tenant)?;
    let first = request(from, tenant, ToolRequestKind::Move, to)?;
    println!("{}", format_report(&from.0, &first));
    let target = peers.iter().find(|p| p.0 == to);
    let (started, mut last_phase) = (Instant::now(), first.phase.clone());
    while started.elapsed() < wait {
        std::thread::sleep(POLL_INTERVAL);
        let there = target.and_then(|p| query(p, tenant, ToolRequestKind::Status, "").ok());
        if let Some(r) = there.and_then(|a| a.ownerships.into_iter().next()) {
            // A higher epoch: the target has owned the tenant since the move, even if it is already handing
            // it on.
            if owns_tenant(&r) && r.epoch > first.epoch {
                println!("{}", format_report(to, &r));
                return Ok(());
            }
        }
        let Ok(here) = query(from, tenant, ToolRequestKind::Status, "") else { continue };
        let Some(r) = here.ownerships.into_iter().next() else { continue };
        if r.phase != last_phase {
            println!("{}", format_report(&from.0, &r));
            last_phase = r.phase.clone();
        }
        if r.phase == "settled" {
            let why = "the move was taken back; see the dispatcher's log for the reason";
            return Err(ToolError::Refused(format!("{}: {why}", from.0)));
        }
    }
    let why = format!(
        "'{tenant}' is still {last_phase} at {} after {} s; the move continues",
        from.0,
        wait.as_secs()
    );
    Err(ToolError::Failed(why))
}

/// Aborts a move that has not been committed.
pub(super) fn abort(peers: &[Peer], tenant: &str) -> ToolResult {
    let from = owner(peers, tenant)?;
    println!("{}", format_report(&from.0, &request(from, tenant, ToolRequestKind::Abort, "")?));
    Ok(())
}

/// Takes back a tenant that was handed over to a dispatcher that is permanently lost.
pub(super) fn reclaim(peers: &[Peer], tenant: &str, gone: &str) -> ToolResult {
    let (reports, _) = query_status(peers, tenant);
    if reports.iter().any(|(at, _)| at == gone) {
        return Err(ToolError::Refused(format!(
            "{gone} is running and answers; move the tenant from there instead"
        )));
    }
    let handed_over = |(_, r): &&(String, OwnershipReport)| r.phase == "committed" && r.peer == gone;
    let Some((at, _)) = reports.iter().find(handed_over) else {
        return Err(ToolError::Refused(format!(
            "no dispatcher has a committed handoff of '{tenant}' to {gone}"
        )));
    };
    let Some(peer) = peers.iter().find(|p| p.0 == *at) else { return Ok(()) };
    println!("{}", format_report(at, &request(peer, tenant, ToolRequestKind::Reclaim, "")?));
    Ok(())
}
