//! The result: one row a rule, and what of the logs was not used.

mod row;

use serde::Serialize;

pub use row::{Row, Verdict};

/// A line that was not used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Reject {
    /// Why.
    pub reason: &'static str,
    /// The file.
    pub file: String,
    /// Number of the line, from 1.
    pub line: u64,
}

/// Lines that were not used for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Rejects {
    /// Why.
    pub reason: &'static str,
    /// How many.
    pub lines: u64,
}

/// What a bounded table or queue had no room for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Overflow {
    /// What is missing from the rows.
    pub what: &'static str,
    /// How many.
    pub count: u64,
}

/// The result.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// One row a rule.
    pub rows: Vec<Row>,
    /// Lines that were read.
    pub lines: u64,
    /// Lines that were used.
    pub used: u64,
    /// Nodes whose lines were used.
    pub nodes: usize,
    /// Lines that were not used, by reason.
    pub rejects: Vec<Rejects>,
    /// The first of them.
    pub rejected: Vec<Reject>,
    /// Lines that the nodes left out, because they wrote too many.
    pub left_out_by_nodes: u64,
    /// What there was no room for.
    pub overflows: Vec<Overflow>,
}
