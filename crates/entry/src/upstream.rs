//! Connections to replicas.

mod link;
mod links;
mod sent;

pub use link::Link;
pub use links::Links;
pub use sent::{Failure, Sent};
