//! Types shared by every area: time, seeds, outcomes and names.
//!
//! Nothing here reads a clock or does IO: callers pass time and seeds in.

pub mod incarnation;
pub mod millis;
pub mod name;
pub mod outcome;
pub mod seed;

pub use incarnation::Incarnation;
pub use millis::Millis;
pub use name::Name;
pub use outcome::Outcome;
pub use seed::Seed;
