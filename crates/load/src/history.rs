//! Histories of experiments in JSON Lines format, and a checker for them.
//!
//! Each line is a [`Record`]: a call sent by a caller, a dispatch of the call to a replica, a run at a replica, the
//! result that the caller observed, or a configuration generation that a node applied. The checker uses only the
//! records. It assumes no order between processes; only the generations of a single node must be in order.

pub mod checker;
pub mod content;
pub mod end;
pub mod finding;
pub mod reader;
pub mod record;

pub use checker::check;
pub use content::Content;
pub use end::End;
pub use finding::{Finding, Kind};
pub use reader::{History, read};
pub use record::Record;
