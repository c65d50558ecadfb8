//! Simulation that compares load-balancing policies in virtual time. It uses the engine model of the `fake` crate,
//! without sockets and without a real clock.
//!
//! Every policy gets the same arrivals and the same reclaims. The statistics allow policies to be compared with each
//! other; they do not predict the performance of a real deployment.

pub mod config;
pub mod kind;
pub mod simulation;
pub mod stats;
pub mod table;

mod baseline;
mod event;
mod node;
mod pool;
mod routed;

pub use config::Config;
pub use kind::Kind;
pub use simulation::Simulation;
pub use stats::Stats;
