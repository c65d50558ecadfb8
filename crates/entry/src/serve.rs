//! Requests of callers, questions for addresses and for readiness, metrics.

mod admit;
mod body;
mod call;
mod directory;
mod dispatch;
mod end;
mod flight;
mod front;
mod intake;
mod listener;
mod log;
mod refusal;
mod relay;
mod whole;

pub use body::{Body, Broken};
pub use listener::{Listener, Service};
pub use refusal::Reason;
