//! Shares of what all nodes together may use: workspace limits and repeated dispatches.
//!
//! No node asks another before a request. Each one counts what it lets through itself, and what the others told it, against
//! a part that is safe until it has heard more.

mod allowance;
mod bucket;
mod limit;

pub use allowance::{Allowance, Policy};
pub use bucket::{Bucket, Flow};
pub use limit::{Bounds, Limit, Terms};
