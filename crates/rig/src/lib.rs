//! A fault-injection rig for many dispatcher processes on loopback.
//!
//! A [`Proxy`] sits on one path (from a dispatcher to an endpoint, to the registry or to a peer) and delays, resets or drops
//! traffic as the test sets it over time. [`Registry`] is a stand-in for the platform's registry and its receiver of notices.
//! The audit of `lilacbank-load` (`keyed::audit`) compares the answers that clients got with the effects at the endpoints.

#![forbid(unsafe_code)]

pub mod config;
mod judge;
mod measure;
mod memory;
pub mod plot;
mod process;
mod proxy;
pub mod raw;
mod registry;
pub mod report;
mod room;
mod rude;
pub mod run;
pub mod scenario;
pub mod soak;
mod stage;

pub use proxy::{Fault, Proxy};
pub use registry::{list_entry, Registry};
