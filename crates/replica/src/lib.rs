//! Copies of what dispatchers of one installation must not lose with a folder.
//!
//! [`view`] says who is alive (SWIM, by foca). [`copies`] holds copies of taken messages and the rule for copies that differ.
//! [`owner`] says who may act on a message: the one that took it, or a holder under a higher fence, and an unsafe message is
//! started only with the grant of its arbiter. [`clock`] orders what operators set on several dispatchers. [`digest`] compares
//! two stores by ranges. [`keeper`] is one dispatcher's part in all of it. [`wire`] is how they write to each other. Nothing here does I/O or reads a clock.
#![forbid(unsafe_code)]

pub mod clock;
pub mod copies;
pub mod digest;
pub mod keeper;
pub mod owner;
pub mod view;
pub mod wire;

/// Milliseconds of the wall clock, or a span.
pub type Ms = u64;
