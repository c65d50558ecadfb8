//! Load generator and experiment runner: open-loop workloads, fault injection schedules, reports, a history checker and
//! a simulator that compares load-balancing policies.

pub mod cli;
pub mod error;
pub mod file;
pub mod history;
pub mod policy;
pub mod run;
pub mod workload;

pub use error::Error;
