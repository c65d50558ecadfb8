//! Histories of runs, as JSON lines, and their checker.
//!
//! A line is a [`Record`]: a call that was made, a dispatch of it, a run at a replica, the end that the caller saw, or a
//! configuration generation that a node applied. The checker reads nothing but the records; it does not rely on
//! their order across processes, only on the order of one node's generations.

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
