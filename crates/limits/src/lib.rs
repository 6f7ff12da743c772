//! Keeps a dispatcher within its share of the limits of the destinations that it sends to.
//!
//! A destination accepts a number of calls in any time span and a number of connections to an endpoint, from
//! all its clients together. A dispatcher that runs next to an application is assigned a share of both.
//! [`RateLimiter`] counts what is sent against that share: calls and probes, including retries, and connections
//! whether busy or idle. It opens no connection and reads no clock: the host passes the time in and reports
//! what it does. What exceeds the share is not sent; [`RateLimiter::room`] returns how much fits now and when
//! more will, for planning.
//!
//! # How a call is counted
//!
//! A destination counts a call when its last byte arrives, at a time that the dispatcher cannot observe. That
//! time lies between the moment at which the dispatcher wrote the byte and a *travel* time later. A call
//! therefore occupies its place in the window from its start until a span after its latest possible arrival.
//! A call that ended before its last byte was written never reached the destination, and its place is freed
//! at once.
//!
//! # Restarts
//!
//! The host records [`CallRecord`] before anything is sent, and passes the records to [`RateLimiter::restore`] in the
//! next process. A call of which only the start was recorded may have arrived at any time before the restart,
//! and is counted as if it had arrived at the restart.
#![forbid(unsafe_code)]

mod ceilings;
pub mod ramp;
mod window;

pub use ceilings::{
    AvailableCapacity, CallRecord, CallStep, DestinationLimit, LimitExceeded, RateLimiter, Scope,
};
pub use window::Window;

/// A point in time or a time span, in milliseconds.
pub type Ms = f64;
