//! Actors. Each one feeds events to one or two state machines and performs the actions that they return.

pub mod claims;
pub mod members;
pub mod rollouts;
pub mod ticker;
pub mod traffic;

pub use claims::Claims;
pub use members::Members;
pub use rollouts::Rollouts;
pub use traffic::Traffic;

/// Capacity of an actor's mailbox; senders wait while it is full.
pub const MAILBOX_CAPACITY: usize = 4096;
