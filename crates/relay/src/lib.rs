//! Following the platform's store through other nodes.
//!
//! A few nodes of each availability zone read the store, and the others ask them. A reader answers a question with the
//! changes since a revision, and says whether a call that it sent to the store after the question arrived confirms
//! them. The asker may then count the age of its view from when it asked, on its own clock.
//!
//! - [`History`] keeps the latest changes of the store.
//! - [`Desk`] holds the questions of other nodes until they can be answered.
//! - [`Path`] decides whether a node reads the store itself or asks another node.
//! - [`Availability`] tells an outage of the store from a node's own cut, and [`Deletions`] decides when a deleted record
//!   means that its writer is gone.
//! - [`Evacuations`] decides which zones are evacuated, also in a store that came back from an older copy.
//! - [`Pace`] derives the waits and timeouts from the time within which a change must take effect.
//!
//! Nodes need not agree on who reads: a node that is asked reads. Views that differ cost calls, never correctness.

mod availability;
mod change;
mod deletions;
mod desk;
mod evacuations;
mod history;
mod message;
mod pace;
mod path;
mod rank;
mod uptime;

pub use availability::Availability;
pub use change::Change;
pub use deletions::Deletions;
pub use desk::{Call, Desk, Question};
pub use evacuations::Evacuations;
pub use history::{Gone, History};
pub use message::{Answer, Query};
pub use pace::Pace;
pub use path::{Candidate, Failure, Path, Source};
pub use rank::lead;
pub use uptime::Uptime;
