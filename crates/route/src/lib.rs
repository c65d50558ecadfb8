//! Request routing: replica selection, concurrency limits, fair queueing, retries and load shedding.
//!
//! Each node has one [`Router`] for all endpoints. The router reads no clock and does no I/O: the node passes the time
//! and [`Event`]s in and executes the resulting [`Action`]s. The same seed and events produce the same actions.

pub mod action;
pub(crate) mod affinity;
pub mod arrival;
pub(crate) mod budget;
pub mod endpoint;
pub mod event;
pub mod failure;
pub(crate) mod hash;
pub mod key;
pub mod lease;
pub(crate) mod queue;
pub mod refusal;
pub mod replica;
pub mod retry;
pub mod router;
pub mod workspace;

pub use action::Action;
pub use arrival::Arrival;
pub use event::Event;
pub use failure::Failure;
pub use key::{CallKey, DispatchId, EndpointKey, Prefix, ReplicaKey, VersionKey, WorkspaceKey, ZoneKey};
pub use refusal::Refusal;
pub use router::Router;
