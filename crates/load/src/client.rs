//! Open-loop RESP2 clients: they submit messages at their intended times, whether or not earlier answers have come.

use crate::arrivals::{PlannedMessage, Stream};
use crate::content::{body_of, idempotency_key_of};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Whether a dispatcher accepted a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Accepted.
    Accepted,
    /// Every submission was rejected.
    Rejected,
    /// The submission failed or was not answered.
    Failed,
}

/// The result of submitting one message, as its client saw it.
#[derive(Debug, Clone, Copy)]
pub struct Submission {
    /// The message.
    pub message: PlannedMessage,
    /// How late the driver submitted it.
    pub lag: Duration,
    /// Whether it was accepted.
    pub admission: Admission,
    /// Number of submissions that were rejected.
    pub rejections: u32,
}

/// Settings of the clients.
#[derive(Debug, Clone)]
pub struct ClientConfig {
    /// Number of connections. A message that is due while all are busy is submitted late, which counts as lag of the driver.
    pub connections: usize,
    /// How often a rejected message is submitted again.
    pub max_resubmissions: u32,
    /// Wait before the next submission if the rejection names none.
    pub default_wait: Duration,
    /// Time after which a submission counts as unanswered.
    pub answer_timeout: Duration,
    /// Receives each result as soon as it is known, for readers that need it before the end of the load.
    pub results: Option<Arc<Mutex<Vec<Submission>>>>,
}

impl Default for ClientConfig {
    fn default() -> ClientConfig {
        let (default_wait, answer_timeout) = (Duration::from_millis(200), Duration::from_millis(400));
        ClientConfig { connections: 64, max_resubmissions: 2, default_wait, answer_timeout, results: None }
    }
}

/// Chooses the dispatcher to which a message is submitted, by its stream and number.
pub type DispatcherSelector = Arc<dyn Fn(&Stream, usize) -> SocketAddr + Send + Sync>;

fn command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        bytes.extend(format!("${}\r\n", argument.len()).bytes());
        bytes.extend_from_slice(argument);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// Submits once over the kept connection, or over a new one if that has ended; the answer line, or none.
pub(crate) fn submit(
    connection: &mut Option<(SocketAddr, BufReader<TcpStream>)>,
    dispatcher: SocketAddr,
    arguments: &[&[u8]],
    answer_timeout: Duration,
) -> Option<String> {
    for _ in 0..2 {
        if connection.as_ref().is_none_or(|c| c.0 != dispatcher) {
            let tcp = TcpStream::connect_timeout(&dispatcher, answer_timeout).ok()?;
            tcp.set_nodelay(true).ok()?;
            tcp.set_read_timeout(Some(answer_timeout)).ok()?;
            *connection = Some((dispatcher, BufReader::new(tcp)));
        }
        let (_, reader) = connection.as_mut()?;
        let mut line = String::new();
        let written = reader.get_mut().write_all(&command(arguments)).is_ok();
        match reader.read_line(&mut line) {
            Ok(n) if written && n > 0 => return Some(line.trim_end().to_string()),
            // The connection ended between two requests: submit once more over a new one. After a timeout do not.
            Ok(_) => *connection = None,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => *connection = None,
            Err(_) => {
                *connection = None;
                return None;
            }
        }
    }
    None
}

/// Submits all messages at their intended times, counted from `start`; returns when all have a result.
pub fn run_open_loop(
    start: Instant,
    streams: &[Stream],
    messages: &[PlannedMessage],
    select_dispatcher: DispatcherSelector,
    habits: &ClientConfig,
) -> Vec<Submission> {
    let (next, all) = (AtomicUsize::new(0), Mutex::new(Vec::with_capacity(messages.len())));
    thread::scope(|scope| {
        for _ in 0..habits.connections {
            scope.spawn(|| {
                let mut connection = None;
                loop {
                    let Some(message) = messages.get(next.fetch_add(1, Ordering::Relaxed)) else { return };
                    thread::sleep((start + message.planned_at).saturating_duration_since(Instant::now()));
                    let submission = submit_message(
                        start,
                        &streams[message.stream_index],
                        *message,
                        &select_dispatcher,
                        habits,
                        &mut connection,
                    );
                    if let Some(Ok(mut results)) = habits.results.as_ref().map(|r| r.lock()) {
                        results.push(submission);
                    }
                    if let Ok(mut all) = all.lock() {
                        all.push(submission);
                    }
                }
            });
        }
    });
    all.into_inner().unwrap_or_default()
}

/// Submits accepted messages again, marked with `again=1` and each under its next id, as the clients of a dispatcher that
/// lost its state folder do; returns the new ids and the answers.
pub fn resubmit(
    streams: &[Stream],
    messages: &[Submission],
    dispatcher: SocketAddr,
    habits: &ClientConfig,
) -> Vec<(String, String)> {
    let mut connection = None;
    let one = |h: &Submission| {
        let s = &streams[h.message.stream_index];
        let id = h.message.id(h.rejections + 1);
        let left = s.deadline.as_millis();
        let options = format!(
            "c={},t={},d={left},dest={},k={},again=1",
            s.class,
            s.tenant,
            s.destination,
            idempotency_key_of(&id)
        );
        let arguments: [&[u8]; 5] =
            [b"SUBMIT", b"0000000000000000", id.as_bytes(), options.as_bytes(), &body_of(&id)];
        let answer =
            submit(&mut connection, dispatcher, &arguments, habits.answer_timeout).unwrap_or_default();
        (id, answer)
    };
    messages.iter().map(one).collect()
}

/// Submits one message, and again while it is rejected, as often as `habits` allow.
fn submit_message(
    start: Instant,
    s: &Stream,
    message: PlannedMessage,
    select_dispatcher: &DispatcherSelector,
    habits: &ClientConfig,
    connection: &mut Option<(SocketAddr, BufReader<TcpStream>)>,
) -> Submission {
    let due = start + message.planned_at;
    let lag = due.elapsed();
    let (mut door, mut rejections) = (Admission::Failed, 0);
    for submission in 0..=habits.max_resubmissions {
        let left = s.deadline.saturating_sub(due.elapsed()).as_millis();
        if left == 0 {
            break;
        }
        let id = message.id(submission);
        let options = format!(
            "c={},t={},d={left},dest={},k={}",
            s.class,
            s.tenant,
            s.destination,
            idempotency_key_of(&id)
        );
        let arguments: [&[u8]; 5] =
            [b"SUBMIT", b"0000000000000000", id.as_bytes(), options.as_bytes(), &body_of(&id)];
        let answer =
            submit(connection, select_dispatcher(s, message.index), &arguments, habits.answer_timeout)
                .unwrap_or_default();
        let Some(wait) = answer.strip_prefix("-BUSY") else {
            door = if answer.starts_with('+') { Admission::Accepted } else { Admission::Failed };
            break;
        };
        (door, rejections) = (Admission::Rejected, rejections + 1);
        if submission < habits.max_resubmissions {
            let wait = wait.trim().parse().map(Duration::from_millis).unwrap_or(habits.default_wait);
            thread::sleep(wait);
        }
    }
    Submission { message, lag, admission: door, rejections }
}
