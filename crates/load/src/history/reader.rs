//! From JSON lines to records.

use super::{Finding, Kind, Record};

/// A record with its line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Number, from 1.
    pub number: usize,
    /// What it says.
    pub record: Record,
}

/// A history as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Well-formed lines in order.
    pub lines: Vec<Line>,
    /// The others.
    pub malformed: Vec<Finding>,
}

impl History {
    /// The history of records that were never written; each counts as a line.
    pub fn new(records: &[Record]) -> Self {
        let lines = records.iter().enumerate().map(|(index, record)| Line {
            number: index + 1,
            record: record.clone(),
        });
        Self {
            lines: lines.collect(),
            malformed: Vec::new(),
        }
    }
}

/// Reads a history; empty lines are passed over.
pub fn read(text: &str) -> History {
    let mut history = History::default();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let number = index + 1;
        match serde_json::from_str::<Record>(line) {
            Ok(record) => history.lines.push(Line { number, record }),
            Err(cause) => history.malformed.push(Finding {
                line: number,
                kind: Kind::Malformed,
                subject: cause.to_string(),
            }),
        }
    }
    history
}
