//! Connections to replicas.

mod connection;
mod connections;
mod exchange;

pub use connection::Connection;
pub use connections::Connections;
pub use exchange::{PendingResponse, SendError};
