//! Calls between nodes over HTTP: questions for the store's changes, and reports to be written.
//!
//! They use the same port as the datagrams of [`peers`](crate::peers), over TCP. Bodies are `postcard`.

mod client;
mod questions;
mod service;

pub use questions::Questions;
pub(crate) use service::handle_request;

/// Path of a question for the store's changes. Earlier builds use another one, with revisions that have no era, and read
/// the store themselves if they ask in vain.
const CHANGES_PATH: &str = "/changes/2";
/// Path of reports that the node writes for another one.
const REPORTS_PATH: &str = "/reports";
