//! Shares of what all nodes together may use: workspace limits and repeated dispatches.
//!
//! No node asks another before a request. Each one counts what it lets through itself against a part of the whole
//! that is safe whatever the others do.

mod allowance;
mod bucket;
mod share;

pub use allowance::{Allowance, Policy};
pub use bucket::Bucket;
pub use share::{Bounds, Share};
