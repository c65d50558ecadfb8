//! A randomized soak of the daemon on the users' platform.
//!
//! Nodes, replicas and the store run as processes of their own. A seed gives a [`plan`] of faults that overlap: signals
//! to processes, trouble on the connections between them, a store that fails, an API key that is taken away. Callers
//! send requests all the while; [`check`] holds what they and the replicas saw against the promises.

pub mod attempt;
pub mod caller;
pub mod check;
pub mod cli;
pub mod deployment;
pub mod disruption;
pub mod finding;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;

pub use cli::main;
