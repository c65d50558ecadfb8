//! Connections to replicas, to the platform and to other nodes.

mod blocks;
mod budget;
mod call;
mod connection;
mod connections;
mod event_buffer;
mod exchange;
mod memory;
mod socket;

pub use blocks::Blocks;
pub use budget::{Budget, Exhausted};
pub use call::{Reply, call, call_with};
pub use connection::{Connection, REPLICA_LIVENESS, RequestBody};
pub use connections::Connections;
pub use event_buffer::EventBuffer;
pub use exchange::{PendingResponse, SendError};
pub(crate) use memory::RESPONSES;
pub use memory::{Memory, Reservation};
