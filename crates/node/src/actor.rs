//! Actors: each carries events into one or two deciding state machines and their actions out.

pub mod claims;
pub mod members;
pub mod rollouts;
pub mod ticker;
pub mod traffic;

pub use claims::Claims;
pub use members::Members;
pub use rollouts::Rollouts;
pub use traffic::Traffic;

/// Messages that wait at one actor, at most; senders wait beyond that.
pub const MAILBOX_CAPACITY: usize = 4096;
