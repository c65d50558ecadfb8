//! Serves callers' requests, directory lookups, readiness checks and metrics.

mod activity;
mod admit;
mod attempt;
mod body;
mod buffered;
mod call;
mod caller_stream;
mod directory;
mod dispatch;
mod exchange;
mod forward;
mod hedge;
mod in_flight;
mod inbound;
mod linger;
mod listener;
mod log;
mod outgoing;
mod pick;
mod proxy;
mod reason;
mod relay;
mod sent;
mod target;

pub use activity::Activity;
pub(crate) use body::full as full_body;
pub use body::{Aborted, Body};
pub(crate) use forward::{handle_request as handle_forward, is_forward};
pub(crate) use inbound::read_body;
pub use listener::{Listener, Service};
pub use reason::Reason;
