//! Listening side of every fake server: connections that can be reset and ports that can refuse connections.

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
