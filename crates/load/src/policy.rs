//! Policies against each other in virtual time: nodes, engines by the stand-in's model, no sockets and no clock.
//!
//! Every policy meets the same arrivals and the same faults; the figures of one run compare policies, they don't
//! foretell a deployment.

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
