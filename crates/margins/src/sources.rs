//! Logs in the order of their times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Time;
use crate::line::peek_time;

/// A line and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located {
    /// Index of the log.
    pub source: usize,
    /// Number of the line, from 1.
    pub number: u64,
    /// The line.
    pub bytes: Vec<u8>,
}

/// Merges the lines of several logs by time. A line without a time follows the line before it.
#[derive(Debug)]
pub struct Sources<I, E> {
    sources: Vec<Source<I, E>>,
    /// Sources by the time of their next line.
    next: BinaryHeap<Reverse<(Time, usize)>>,
}

#[derive(Debug)]
struct Source<I, E> {
    lines: I,
    read: u64,
    time: Time,
    line: Option<Result<Vec<u8>, E>>,
}

impl<I, E> Source<I, E>
where
    I: Iterator<Item = Result<Vec<u8>, E>>,
{
    fn new(lines: I) -> Self {
        Self {
            lines,
            read: 0,
            time: Time::MIN,
            line: None,
        }
    }

    /// Reads a line; returns whether there is one, or an error in its place.
    fn advance(&mut self) -> bool {
        self.line = self.lines.next();
        self.read += 1;
        if let Some(Ok(line)) = &self.line {
            self.time = peek_time(line).unwrap_or(self.time);
        }
        self.line.is_some()
    }
}

impl<I, E> Sources<I, E>
where
    I: Iterator<Item = Result<Vec<u8>, E>>,
{
    /// Creates the merged lines of these logs.
    pub fn new(logs: Vec<I>) -> Self {
        let mut sources: Vec<Source<I, E>> = logs.into_iter().map(Source::new).collect();
        let mut next = BinaryHeap::new();
        for (index, source) in sources.iter_mut().enumerate() {
            if source.advance() {
                next.push(Reverse((source.time, index)));
            }
        }
        Self { sources, next }
    }
}

impl<I, E> Iterator for Sources<I, E>
where
    I: Iterator<Item = Result<Vec<u8>, E>>,
{
    /// A line, or the index of a log and why it can't be read on.
    type Item = Result<Located, (usize, E)>;

    fn next(&mut self) -> Option<Self::Item> {
        let Reverse((_, index)) = self.next.pop()?;
        let source = self.sources.get_mut(index)?;
        let bytes = match source.line.take()? {
            Ok(bytes) => bytes,
            Err(error) => return Some(Err((index, error))),
        };
        let located = Located {
            source: index,
            number: source.read,
            bytes,
        };
        if source.advance() {
            self.next.push(Reverse((source.time, index)));
        }
        Some(Ok(located))
    }
}
