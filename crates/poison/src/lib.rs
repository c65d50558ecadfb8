//! Finds prompt parts that crash the replicas that process them, and blocks the requests that have them.
//!
//! A node records which parts a request had whose replica crashed under it, and which parts were processed without a crash.
//! Nodes tell each other what they know ([`Digest`]), since each sees only a part of the crashes.

mod blame;
mod block;
mod content;
mod crash;
mod detector;
mod digest;
mod survivors;

pub use block::Block;
pub use content::Content;
pub use crash::Crash;
pub use detector::{Change, Detector};
pub use digest::{Digest, Survival};
