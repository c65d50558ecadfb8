//! Connections to replicas, to the platform and to other nodes.

mod call;
mod connection;
mod connections;
mod exchange;

pub use call::{Reply, call};
pub use connection::Connection;
pub use connections::Connections;
pub use exchange::{PendingResponse, SendError};
