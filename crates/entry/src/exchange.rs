//! Calls between nodes over HTTP: questions for the store's changes, and reports to be written.
//!
//! They use the same port as the datagrams of [`peers`](crate::peers), over TCP. Bodies are `postcard`.

mod client;
mod questions;
mod service;

pub use questions::Questions;
pub(crate) use service::handle_request;

/// Path of a question for the store's changes.
const CHANGES_PATH: &str = "/changes";
/// Path of reports that the node writes for another one.
const REPORTS_PATH: &str = "/reports";
