//! Load for a dispatcher, and what stands round it: open-loop arrivals, clients, members that record every effect.
//!
//! A client that waits for each answer before it sends the next message stops sending when the dispatcher stalls, and
//! hides the stall. Here every message has its [`arrivals::Intended`] time, drawn beforehand from a seed, and its delay
//! counts from then, whoever was late. How late the driver itself was is part of the [`report::Report`]; a run in which it
//! was too late proves nothing, and says so.
#![forbid(unsafe_code)]

pub mod arrivals;
pub mod attempts;
pub mod client;
pub mod connection_fault;
pub mod keyed;
pub mod member;
pub mod report;
