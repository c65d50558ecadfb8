//! Serves callers' requests, directory lookups, readiness checks and metrics.

mod admit;
mod attempt;
mod body;
mod buffered;
mod call;
mod directory;
mod dispatch;
mod exchange;
mod handover;
mod in_flight;
mod inbound;
mod listener;
mod log;
mod proxy;
mod reason;
mod relay;
mod sent;

pub(crate) use body::full as full_body;
pub use body::{Aborted, Body};
pub use listener::{Listener, Service};
pub use reason::Reason;
