//! Serves callers' requests, directory lookups, readiness checks and metrics.

mod activity;
mod admit;
mod attempt;
mod body;
mod buffered;
mod call;
mod directory;
mod dispatch;
mod exchange;
mod hedge;
mod in_flight;
mod inbound;
mod listener;
mod log;
mod outgoing;
mod proxy;
mod reason;
mod relay;
mod sent;
mod target;

pub(crate) use body::full as full_body;
pub use body::{Aborted, Body};
pub use listener::{Listener, Service};
pub use reason::Reason;
