//! A randomized soak test of the daemon on the users' platform.
//!
//! Nodes, replicas and the store run as separate processes. A seed determines a [`plan`] of overlapping faults: signals
//! to processes, impaired connections between them, store failures and the revocation of an API key. Callers send
//! requests throughout; [`check`] compares what callers and replicas observed with the guarantees.

pub mod attempt;
pub mod caller;
pub mod check;
pub mod cli;
pub mod cuts;
pub mod deployment;
pub mod disruption;
pub mod finding;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;
pub mod upgrade;

pub use cli::main;
