//! Settings files of a sidecar, which operators write: their types, and how they are read and checked.
//!
//! The main kinds, both TOML, are agreements and applications. An [`agreement::Agreement`] states what a
//! destination takes from all applications together. An [`application::Application`] configures the dispatcher
//! that runs beside one application, and promises which share of those limits it keeps to. They combine as in
//! CUE: the agreement constrains, the application supplies values, and a conflict names both places. A
//! [`cellmap::CellMap`] is shared by several dispatchers.
//!
//! [`set::FileSet::load`] reads files, [`check::check`] checks them together, [`render::render`] makes the
//! JSON that a dispatcher reads, and [`explain::explain`] lists every value in force with its origin. Each
//! finding has a code whose meaning never changes; `docs/operators/sidecar.md` lists the codes.
//!
//! The crate opens neither files nor sockets.
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
