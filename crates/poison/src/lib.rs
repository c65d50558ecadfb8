//! Finds requests and prompt parts that crash the replicas that process them, and blocks them.
//!
//! A node records which request it was under which a replica crashed and which parts it had, and what was processed without a crash.
//! Nodes tell each other what they know ([`Digest`]), since each sees only a part of the crashes.

mod blame;
mod block;
mod content;
mod crash;
mod detector;
mod digest;
mod survivors;
mod suspects;

pub use block::Block;
pub use content::Content;
pub use crash::Crash;
pub use detector::{Change, Detector};
pub use digest::{Digest, Survival};
pub use suspects::Suspects;
