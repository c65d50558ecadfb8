//! Bounds on what clients make a node hold.
//!
//! - [`Allowance`] divides a VM's memory and descriptors.
//! - [`Budget`] decides which request may hold how much memory, which one waits, and which one is given up.
//! - [`Progress`] decides whether a body arrives too slowly.
//! - [`connection::victim`] decides which connection is closed for a new one.

mod allowance;
mod budget;
pub mod connection;
mod decision;
mod holder;
mod progress;

pub use allowance::Allowance;
pub use budget::Budget;
pub use decision::Decision;
pub use holder::Key;
pub use progress::Progress;
