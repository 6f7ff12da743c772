//! Load generator for dispatchers: open-loop arrivals, clients, and stand-in endpoints that record every effect.
//!
//! A closed-loop client, which waits for each answer before it sends the next message, stops sending when the dispatcher
//! stalls and so hides the stall (coordinated omission). Here every message has an [`arrivals::PlannedMessage`] time,
//! drawn in advance from a seed, and its delay is measured from that time. The driver's own lag is part of the
//! [`report::Report`], which marks a run as invalid if the driver lagged too much.
#![forbid(unsafe_code)]

pub mod arrivals;
pub mod attempts;
pub mod client;
pub mod connection_fault;
pub mod content;
pub mod keyed;
pub mod member;
pub mod report;
