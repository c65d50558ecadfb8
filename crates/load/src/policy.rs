//! Policies against each other in virtual time: nodes, engines by the stand-in's model, no sockets and no clock.
//!
//! Every policy meets the same arrivals and the same faults; the figures of one run compare policies, they don't
//! foretell a deployment.

pub mod choice;
pub mod config;
pub mod figures;
pub mod table;
pub mod trial;

mod blind;
mod event;
mod node;
mod pool;
mod routed;

pub use choice::Choice;
pub use config::Config;
pub use figures::Figures;
pub use trial::Trial;
