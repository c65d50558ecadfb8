//! Shares of what all nodes together may use: workspace limits and repeated dispatches.
//!
//! No node asks another before a request. Each one counts what it lets through itself, and what the others told it, against
//! a part that is safe until it has heard more.

mod bucket;
mod limit;
mod retry_budget;

pub use bucket::{Bucket, Refill};
pub use limit::{LimitSettings, Limiter, Tolerance};
pub use retry_budget::{RetryBudget, RetryPolicy};
