//! A fault rig for many processes of the dispatcher on loopback.
//!
//! [`Proxy`] stands on one path (dispatcher to member, to registry, later to another dispatcher) and delays, resets or
//! swallows what passes, as the test says from moment to moment. [`Audit`] takes every answer given to a client and
//! every effect at a member and tells what the rules forbid: lost, doubled, more than one final answer.

#![forbid(unsafe_code)]

mod audit;
mod proxy;

pub use audit::{Audit, Verdict};
pub use proxy::{Fault, Proxy};
