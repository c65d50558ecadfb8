//! The listening side of every stand-in: connections that can be cut and ports that can refuse.

pub mod connection;
pub mod gate;
pub mod listener;
pub mod peer;
pub mod stream;

pub use connection::Connection;
pub use gate::Gate;
pub use listener::Listener;
pub use peer::Peer;
pub use stream::Stream;
