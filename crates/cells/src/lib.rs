//! Cells confine each tenant to a part of the dispatchers and of their capacity, so that its load does not
//! affect the tenants of other cells.
//!
//! [`placement`] decides where a tenant is placed, [`bulkhead`] divides a dispatcher's capacity among the
//! cells that it serves, [`moving`] moves a tenant between dispatchers with at most one owner at any time,
//! and [`wire`] is the wire format for it. Nothing here does I/O or reads a clock.
#![forbid(unsafe_code)]

pub mod bulkhead;
pub mod moving;
pub mod placement;
pub mod wire;
