//! Client of the platform's key-value service: conditional writes, leases, watches and call rate limits.
//!
//! The response to a write may be lost after the write took effect. Every write therefore has a unique id, and
//! [`Client`] determines the outcome by reading the record back.

pub mod backend;
pub mod budget;
pub mod change;
pub mod client;
pub mod condition;
pub mod error;
pub mod guard;
pub mod http;
pub mod lease;
pub mod listing;
pub mod record;
pub mod retry;
pub mod write;

pub use backend::Backend;
pub use base::Revision;
pub use budget::Budget;
pub use change::{Change, Changes};
pub use client::Client;
pub use condition::Condition;
pub use error::Error;
pub use guard::Guard;
pub use lease::Lease;
pub use listing::Listing;
pub use record::Record;
pub use write::Write;

/// Maximum size of a value that the service accepts, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;
