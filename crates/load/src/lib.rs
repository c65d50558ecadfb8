//! Load and experiment tool: open-loop arrivals, callers, fault schedules, reports and history checks.

pub mod cli;
pub mod error;
pub mod file;
pub mod history;
pub mod policy;
pub mod run;
pub mod workload;

pub use error::Error;
