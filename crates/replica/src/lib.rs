//! Replication of accepted messages among the dispatchers of one installation, so that the loss of a state
//! folder loses no message.
//!
//! [`view`] tracks which dispatchers are alive (SWIM, by foca). [`copies`] defines copies of accepted
//! messages and how differing copies are merged. [`owner`] decides who may act on a message: the dispatcher
//! that accepted it, or a holder under a higher fence; an at-most-once message is started only with the grant
//! of its arbiter. [`clock`] orders the operator blocks that are set on several dispatchers. [`store`] holds
//! copies and knows their total size. [`digest`] compares two of them by hash ranges. [`keeper`] is one dispatcher's part in all of it. [`wire`] is the wire
//! format of the peer messages. Nothing here does I/O or reads a clock.
#![forbid(unsafe_code)]

pub mod clock;
pub mod copies;
pub mod digest;
pub mod keeper;
pub mod owner;
pub mod store;
pub mod view;
pub mod wire;

/// Milliseconds since 1970 by the wall clock, or a time span in milliseconds.
pub type Ms = u64;
