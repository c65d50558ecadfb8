//! Distributed token rate limits and retry budgets, shared by all nodes.
//!
//! A node decides on each request locally, without asking other nodes. It counts what it admits itself and what the
//! others report, and keeps within a share of the limit that is safe until it has heard more.

mod bucket;
mod horizon;
mod limit;
mod retry_budget;
mod throttle;
mod totals;
mod windows;

pub use bucket::{Bucket, Refill};
pub use horizon::Horizon;
pub use limit::{Denial, LimitSettings, Limiter, PeerTotal, Tolerance};
pub use retry_budget::{RetryBudget, RetryPolicy};
pub use throttle::{Group, Throttle};
pub use totals::Totals;
pub use windows::{Counts, Windows};
