//! Serves callers' requests, directory lookups, readiness checks and metrics.

mod admit;
mod attempt;
mod body;
mod buffered;
mod call;
mod denial;
mod directory;
mod dispatch;
mod in_flight;
mod inbound;
mod listener;
mod log;
mod proxy;
mod reason;
mod relay;

pub(crate) use body::full as full_body;
pub use body::{Aborted, Body};
pub use listener::{Listener, Service};
pub use reason::Reason;
