//! Experiments: a deployment in this process, open-loop callers, a schedule of faults, and what came of it.
//!
//! Stand-ins and nodes run as tasks and talk over loopback sockets, as they would as processes. Latency is counted
//! from the time at which a caller was due, so that a stall counts for all who came during it.

pub mod config;
pub mod deployment;
pub mod driver;
pub mod figures;
pub mod plot;
pub mod report;

mod addresses;
mod attempt;
mod caller;
mod faults;
mod keeper;
mod observer;
mod recorder;
mod text;

pub use config::Experiment;
pub use driver::run;
pub use report::Report;
