//! Cells: tenants are confined to part of the dispatchers and of their room, so that what one does to its part the others
//! do not feel.
//!
//! [`placement`] says where a tenant lives, [`bulkhead`] divides what a dispatcher has among the cells that it serves, and
//! [`moving`] takes a tenant from one dispatcher to another with one owner at any time; [`wire`] is how they write to each
//! other about it. None of it does I/O or reads a
//! clock.
#![forbid(unsafe_code)]

pub mod bulkhead;
pub mod moving;
pub mod placement;
pub mod wire;
