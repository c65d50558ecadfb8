//! Which requests are admitted when a workspace's limit or the capacity of replicas is short.
//!
//! A node sees a small part of the load. It decides on each request locally, from sums that all nodes share: the balance of
//! a limit, and how much of each replica's capacity is in use. See `docs/design/admission.md`.

mod class;
mod contention;
mod fairness;
mod rate;
mod rates;
mod retry;
mod split;
mod urgency;

pub use class::Class;
pub use contention::{Allowance, Contention};
pub use fairness::Fairness;
pub use rate::Rate;
pub use rates::Rates;
pub use retry::Retry;
pub use split::{Split, is_mixed};
pub use urgency::Urgency;
