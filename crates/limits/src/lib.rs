//! What a dispatcher promised of the limits of the members that it calls, and the keeping of it.
//!
//! A member takes so many calls in any span and so many connections to an endpoint, from everybody together. A
//! dispatcher that runs beside an application is promised a part. [`Ceilings`] counts what goes out against that part:
//! calls and probes alike, retries too, and connections whether busy or idle. It opens nothing and reads no clock: the
//! host passes the time in and tells what it does. What does not fit is not sent; [`Ceilings::room`] says how much fits
//! now and when more will, so that whoever decides can plan with it.
//!
//! # How a call is counted
//!
//! A member counts a call when its last byte arrives, a time that nobody else sees. It lies between the moment at which
//! the sender wrote that byte and a *travel* later. So a call takes its place when it is started, and gives it back a
//! span after the latest moment at which it can have arrived. Places of calls that ended before their last byte was
//! written are given back at once: they never were calls.
//!
//! # Restarts
//!
//! The host writes [`Spent`] down before anything goes out, and hands it to [`Ceilings::restore`] in the next process. A
//! call of which only the start is known may have arrived up to the moment of the restart, and is counted so.
#![forbid(unsafe_code)]

mod ceilings;
pub mod ramp;
mod window;

pub use ceilings::{Ceilings, Over, Promise, Room, Scope, Spent, Step};
pub use window::Window;

/// A time of the clock, or a span, in milliseconds.
pub type Ms = f64;
