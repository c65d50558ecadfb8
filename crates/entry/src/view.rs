//! What a node believes: configuration, replicas, other nodes, moves of versions.

mod moves;
mod peer;
mod proof;
mod whole;

pub use moves::{Moves, Record, Stage, Versions};
pub use peer::{Peer, Peers};
pub use proof::Proof;
pub use whole::{Own, View};
