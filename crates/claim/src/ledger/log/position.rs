//! Positions of claims in the log.

use std::collections::VecDeque;

use crate::ledger::Key;

/// Positions of claims in log order. May contain stale positions: of claims that were dropped, rewritten or replaced.
#[derive(Debug, Default)]
pub(super) struct Positions(VecDeque<Position>);

/// Position of a claim in the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    pub key: Key,
    pub sequence: u64,
}

impl Positions {
    pub fn push(&mut self, key: Key, sequence: u64) {
        self.0.push_back(Position { key, sequence });
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn iter(&self) -> std::collections::vec_deque::Iter<'_, Position> {
        self.0.iter()
    }

    /// Removes positions from the front while they are `stale`, and returns the first remaining one.
    pub fn first<S>(&mut self, stale: S) -> Option<Position>
    where
        S: Fn(&Position) -> bool,
    {
        while self.0.front().is_some_and(&stale) {
            self.0.pop_front();
        }
        self.0.front().copied()
    }

    /// Removes every position that is `stale`.
    pub fn sweep<S>(&mut self, stale: S)
    where
        S: Fn(&Position) -> bool,
    {
        self.0.retain(|position| !stale(position));
    }
}
