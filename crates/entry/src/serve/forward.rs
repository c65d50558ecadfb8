//! Requests that reach replicas through another node, because their own node reaches none.
//!
//! The node that took a request decides everything about it: the replica, limits, repeats, and what the end of a dispatch
//! means. The other node, the intermediary, only carries one dispatch to the named replica and the response back, on the port
//! of the nodes' own calls. It never uses an intermediary itself, so there is one hop at most.

mod client;
mod header;
mod service;

pub(super) use client::{Hop, send_through};
pub(crate) use service::{handle_request, is_forward};
