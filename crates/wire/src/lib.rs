//! Frames between nodes, carried over QUIC.
//!
//! Every node has one [`Transport`]. A frame that needs no answer goes on a stream of its own with
//! [`Transport::send`]; an exchange goes over a [`Channel`]. Both ends prove that they know the deployment's
//! peer secret by certificates of an authority derived from it.

pub mod channel;
pub mod codec;
pub mod error;
pub mod frame;
pub mod head;
pub mod identity;
pub mod request;
pub mod transport;

pub use channel::Channel;
pub use codec::{decode, encode};
pub use error::Error;
pub use frame::Frame;
pub use head::Head;
pub use identity::Identity;
pub use request::Request;
pub use transport::{Incoming, Transport};

/// Largest encoded frame, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;
