//! The operators' files of a sidecar: what they may say, how they are read, and what is wrong with them.
//!
//! There are two kinds, both TOML. An [`agreement::Agreement`] tells what a member firm takes from everybody together; an
//! [`application::Application`] sets up the dispatcher beside one application and promises which part of that it keeps
//! within. Their meaning is that of CUE: the agreement constrains, the application fills in, and a conflict names both
//! places. [`set::Set::load`] reads files, [`check::check`] finds what is wrong with them together,
//! [`render::render`] makes the JSON that a dispatcher reads, and [`explain::explain`] tells every value in force and
//! where it comes from. Every fault has a code that stays; `docs/operators/sidecar.md` lists them.
//!
//! Nothing here opens a file or a socket.
#![forbid(unsafe_code)]

pub mod agreement;
pub mod application;
pub mod cellmap;
pub mod check;
pub mod compose;
pub mod explain;
pub mod finding;
pub mod render;
pub mod schema;
pub mod served;
pub mod set;
pub mod source;
pub mod units;
