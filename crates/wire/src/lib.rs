//! Message frames between nodes over QUIC.
//!
//! Every node has one [`Transport`]. [`Transport::send`] sends a frame that needs no response on a stream of its own;
//! [`Transport::open`] opens a [`Channel`] for frames in both directions. Both peers authenticate with certificates
//! signed by an authority that is derived from the deployment's peer secret.

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

/// Maximum size of an encoded frame, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;
