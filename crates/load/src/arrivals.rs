//! Arrival times of messages, drawn in advance from a seed.

use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use std::time::Duration;

/// A stream of messages of one tenant and class to one destination.
#[derive(Debug, Clone, PartialEq)]
pub struct Stream {
    /// The tenant of the messages.
    pub tenant: String,
    /// The class of the messages.
    pub class: String,
    /// The destination of the messages.
    pub destination: u64,
    /// Average number of messages per second.
    pub messages_per_second: f64,
    /// Start of the stream, from the start of the load.
    pub from: Duration,
    /// End of the stream, from the start of the load.
    pub until: Duration,
    /// A message that is delivered within this time has its full worth.
    pub full_worth_within: Duration,
    /// A message that is delivered later than this has no worth.
    pub deadline: Duration,
}

/// A message and the time at which it is to be submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlannedMessage {
    /// Time since the start of the load.
    pub planned_at: Duration,
    /// Index of the stream.
    pub stream_index: usize,
    /// Index of the message in its stream.
    pub index: usize,
}

impl PlannedMessage {
    /// The id under which the message is submitted for the nth time, from 0.
    pub fn id(&self, submission: u32) -> String {
        format!("{:x}-{:x}-{submission}", self.stream_index, self.index)
    }

    /// Stream and number of the message with this id.
    pub fn parse_id(id: &str) -> Option<(usize, usize)> {
        let mut parts = id.split('-');
        let mut next = || usize::from_str_radix(parts.next()?, 16).ok();
        Some((next()?, next()?))
    }
}

/// Poisson arrivals of all streams, in order of time. A stream's times depend only on the seed and the stream's index, so
/// adding a stream does not change those of the others.
pub fn poisson_arrivals(seed: u64, streams: &[Stream]) -> Vec<PlannedMessage> {
    let mut all = Vec::new();
    for (stream, s) in streams.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ stream as u64);
        let Ok(gap) = Exp::new(s.messages_per_second) else { continue };
        let mut at = s.from.as_secs_f64();
        for number in 0.. {
            at += gap.sample(&mut random);
            if !at.is_finite() || at >= s.until.as_secs_f64() {
                break;
            }
            all.push(PlannedMessage {
                planned_at: Duration::from_secs_f64(at),
                stream_index: stream,
                index: number,
            });
        }
    }
    all.sort_unstable();
    all
}

#[cfg(test)]
mod tests;
