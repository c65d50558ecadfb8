//! Parser for histories in JSON Lines format.

use super::{Finding, Kind, Record};

/// A record and its line number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Line number, starting at 1.
    pub number: usize,
    /// Parsed record.
    pub record: Record,
}

/// A parsed history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Valid records in file order.
    pub lines: Vec<Line>,
    /// One finding for each line that could not be parsed.
    pub malformed: Vec<Finding>,
}

impl History {
    /// Creates a history from records in memory; each record counts as one line.
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

/// Parses a history. Empty lines are skipped.
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
