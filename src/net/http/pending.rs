//! Requests that wait for a connection to be reusable. No I/O.

use super::super::finding::RequestKind;
use super::super::reactor::Reactor;
use crate::api::{DestId, EndpointId, Ms};
use std::net::SocketAddr;
use std::rc::Rc;

/// A request that is not written yet.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) task: RequestKind,
    /// When it was ordered.
    pub(super) started: Ms,
    /// Id of the message, for the log.
    pub(super) id: String,
    pub(super) bytes: Vec<u8>,
    /// It is not written after this time.
    pub(super) write_by: Ms,
    pub(super) address: SocketAddr,
    /// Destination and endpoint.
    pub(super) target: (DestId, EndpointId),
    /// The most connections that there may be to the endpoint, idle ones included.
    pub(super) max_connections: u32,
    /// The poll for a new connection.
    pub(super) reactor: Rc<Reactor>,
}

/// The requests that wait, in their order.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    /// Each with the time at which it is tried again.
    requests: Vec<(Ms, Request)>,
}

impl PendingRequests {
    /// Adds a request that is tried again at this time.
    pub(super) fn add(&mut self, retry_at: Ms, request: Request) {
        self.requests.push((retry_at, request));
    }

    /// Whether a task waits.
    pub(super) fn contains(&self, task: &RequestKind) -> bool {
        self.requests.iter().any(|(_, request)| request.task == *task)
    }

    /// How many requests wait for a connection to this destination and endpoint.
    pub(super) fn count(&self, target: (DestId, EndpointId)) -> usize {
        self.requests.iter().filter(|(_, request)| request.target == target).count()
    }

    /// Removes the requests for which the condition holds.
    pub(super) fn take(&mut self, mut condition: impl FnMut(&Request) -> bool) -> Vec<Request> {
        self.take_where(|(_, request)| condition(request))
    }

    /// Removes the requests that are tried again now, or may not be written any more.
    pub(super) fn take_due(&mut self, now: Ms) -> Vec<Request> {
        self.take_where(|(retry_at, request)| retry_at.min(request.write_by) <= now)
    }

    fn take_where(&mut self, mut condition: impl FnMut(&(Ms, Request)) -> bool) -> Vec<Request> {
        let (taken, rest) =
            std::mem::take(&mut self.requests).into_iter().partition(|entry| condition(entry));
        self.requests = rest;
        let taken: Vec<(Ms, Request)> = taken;
        taken.into_iter().map(|(_, request)| request).collect()
    }

    /// When [`PendingRequests::take_due`] has a request.
    pub(super) fn next_due(&self) -> Option<Ms> {
        let due = self.requests.iter().map(|(retry_at, request)| retry_at.min(request.write_by));
        due.min_by(f64::total_cmp)
    }
}
