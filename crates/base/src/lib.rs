//! Types shared by all crates: time, seeds, outcomes, names and revisions.
//!
//! This crate reads no clock and does no I/O: callers pass in the time and the seeds.

pub mod incarnation;
pub mod millis;
pub mod name;
pub mod outcome;
pub mod revision;
pub mod seed;

pub use incarnation::Incarnation;
pub use millis::Millis;
pub use name::Name;
pub use outcome::Outcome;
pub use revision::Revision;
pub use seed::Seed;
