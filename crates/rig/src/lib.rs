//! A fault rig for many processes of the dispatcher on loopback.
//!
//! [`Proxy`] stands on one path (dispatcher to member, to registry, later to another dispatcher) and delays, resets or
//! swallows what passes, as the test says from moment to moment. What clients were told is held against what members
//! did by the audit of `lilacbank-load` (`keyed::audit`). [`Registry`] is the platform's registry and notice place.

#![forbid(unsafe_code)]

pub mod config;
mod judge;
mod measure;
pub mod plot;
mod process;
mod proxy;
mod registry;
pub mod report;
mod room;
mod rude;
pub mod run;
pub mod scenario;
pub mod soak;
mod stage;

pub use proxy::{Fault, Proxy};
pub use registry::{entry, Registry};
