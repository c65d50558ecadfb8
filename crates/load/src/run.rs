//! Experiments: a deployment in this process, open-loop callers, a schedule of faults, and what came of it.
//!
//! Stand-ins and nodes run as tasks and talk over loopback sockets, as they would as processes. Latency is counted
//! from the time at which a caller was due, so that a stall counts for all who came during it.

pub mod config;
pub mod deployment;
pub mod driver;
pub mod plot;
pub mod report;
pub mod stats;

mod attempt;
mod caller;
mod observer;
mod recorder;
mod resolver;
mod scheduler;
mod supervisor;
mod text;

pub use config::Experiment;
pub use driver::run;
pub use report::Report;
