//! Membership: nodes, incarnations, views, digests and leased roles with fencing numbers.
//!
//! Everything here is a state machine that is stepped with the caller's time: no clock, no IO, no threads.
//!
//! - [`Gossip`] spreads items (node states, the catalogue's head, leaving marks, vetoes) and keeps the [`View`].
//! - [`Config`] says which generation is applied and whether the node may serve with it.
//! - [`Acks`] says which live nodes have not applied a generation yet.
//! - [`Role`] is one leased role with a fencing number.
//! - [`Address`] is one entry of the list that callers are given.

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
