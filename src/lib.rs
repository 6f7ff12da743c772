//! A dispatcher that delivers messages to many external destinations.
//!
//! [`brain::DecisionModule`] makes the decisions; [`api`] has all its inputs and outputs. It opens no connection and
//! reads no clock. Two hosts pass events in and carry out actions: [`wire`], a line protocol for the
//! simulator, and [`dispatch`], the core of the real dispatcher. [`journal`] lets the state of the core
//! outlast the process, and [`net`] connects the core to sockets. [`config`] reads the settings of both
//! hosts.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod brain;
pub mod config;
pub mod curve;
pub mod disk;
pub mod dispatch;
mod fleet;
pub mod guard;
pub mod journal;
pub mod kept;
pub mod logging;
pub mod memory;
pub mod net;
pub mod recovery;
mod state;
pub mod timeline;
pub mod together;
pub mod tool;
pub mod wire;

pub use api::{Action, Event, Settings};
pub use brain::DecisionModule;

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct Readme;
