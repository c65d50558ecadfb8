//! Experiments: a deployment inside this process, open-loop callers, scheduled faults and a report.
//!
//! Fake servers and nodes run as tasks and communicate over loopback sockets, as separate processes would. Latency is
//! measured from the due time of each arrival, so a stall affects every arrival during it (no coordinated omission).

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
