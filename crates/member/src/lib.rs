//! Cluster membership, catalogue generations and leased roles.
//!
//! Every component is a deterministic state machine: the caller passes the current time to each step and carries
//! out the returned actions. The crate reads no clock, performs no I/O and starts no threads.
//!
//! - [`Gossip`] disseminates items (node states, the catalogue head, leaving marks, vetoes) and maintains the [`View`].
//! - [`Config`] tracks the applied catalogue generation and decides whether the node may serve new work.
//! - [`Acks`] computes which zones still have nodes that have not applied a generation.
//! - [`Role`] is a leased role with a fencing token.
//! - [`Address`] is an entry of the address list returned to callers.

pub mod acks;
pub mod address;
pub mod config;
pub mod frame;
pub mod generation;
pub mod gossip;
mod hash;
pub mod item;
pub mod node;
pub mod role;
mod timestamp;
pub mod view;

pub use acks::Acks;
pub use address::Address;
pub use config::Config;
pub use frame::Frame;
pub use generation::Generation;
pub use gossip::Gossip;
pub use item::Item;
pub use node::Node;
pub use role::Role;
pub use view::View;
