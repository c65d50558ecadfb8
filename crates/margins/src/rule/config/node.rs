//! Configurations of one node.

use std::collections::VecDeque;

use crate::Time;

/// Number of versions of a node that are kept.
const MAX_VERSIONS: usize = 64;

/// A process of a node.
#[derive(Clone, Debug)]
pub struct Node {
    /// When it started, or wrote its first line.
    pub started: Time,
    /// Its versions and since when each is in force, in rising order.
    versions: VecDeque<(u64, Time)>,
}

impl Node {
    /// Creates a process without a configuration.
    pub const fn new(started: Time) -> Self {
        Self {
            started,
            versions: VecDeque::new(),
        }
    }

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        self.versions.back().map(|(version, _)| *version)
    }

    /// Puts a newer version into force.
    pub fn configure(&mut self, at: Time, version: u64) {
        self.versions.push_back((version, at));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// For how long a newer version than this one has been in force; `None` if there is none.
    pub fn age_of_newer(&self, now: Time, version: u64) -> Option<i64> {
        let index = self.versions.partition_point(|(own, _)| *own <= version);
        self.versions.get(index).map(|(_, since)| now.since(*since))
    }
}
