//! Runs of a large cluster in which nodes are cut off from all replicas, while callers, the store and the other nodes reach
//! them.
//!
//! The nodes are processes of the daemon; each reaches the replicas at a host of its own, where a link stands before each
//! replica. Store, replicas, links and callers run in the process of the soak test.

mod cluster;
mod load;
pub mod plan;
pub mod report;
mod run;

pub use plan::{Cut, Faults, Which};
pub(crate) use run::log_directory;
pub use run::{Options, run, run_node};
