//! Baseline policies that ignore the state of the engines.

use base::Seed;
use base::seed::Generator;
use indexmap::IndexMap;
use rand::RngExt;

use super::Kind;
use super::node::{Command, Dispatch};

/// A node that dispatches every call immediately.
#[derive(Debug)]
pub struct Baseline {
    kind: Kind,
    random: Generator,
    next: usize,
    /// This node's requests in flight at each replica that accepts work.
    in_flight: IndexMap<usize, u32>,
}

impl Baseline {
    pub fn new(kind: Kind, seed: Seed) -> Self {
        let mut random = seed.generator();
        Self {
            kind,
            next: random.random_range(0..1_000),
            random,
            in_flight: IndexMap::new(),
        }
    }

    pub fn add(&mut self, replica: usize) {
        self.in_flight.insert(replica, 0);
    }

    pub fn remove(&mut self, replica: usize) {
        self.in_flight.shift_remove(&replica);
    }

    pub fn choose(&mut self, call: usize) -> Command {
        if self.in_flight.is_empty() {
            return Command::Refuse { call };
        }
        let index = self.next_index();
        let Some((replica, count)) = self.in_flight.get_index_mut(index) else {
            return Command::Refuse { call };
        };
        *count += 1;
        let replica = *replica;
        Command::Dispatch(Dispatch { call, replica, id: 0 })
    }

    pub fn finish(&mut self, replica: usize) {
        if let Some(count) = self.in_flight.get_mut(&replica) {
            *count -= 1;
        }
    }

    fn next_index(&mut self) -> usize {
        let count = self.in_flight.len();
        self.next += 1;
        match self.kind {
            Kind::RoundRobin => self.next % count,
            Kind::LeastInFlight => {
                // Rotates the start index so that ties are not always resolved in favour of the first replica.
                let start = self.next;
                let indices = (0..count).map(|offset| (start + offset) % count);
                indices.min_by_key(|index| self.in_flight[*index]).unwrap_or(0)
            }
            Kind::Random | Kind::RouterWithoutAffinity | Kind::Router => self.random.random_range(0..count),
        }
    }
}
