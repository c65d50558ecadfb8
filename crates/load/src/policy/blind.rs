//! Baselines that know nothing of the engines.

use base::Seed;
use base::seed::Generator;
use indexmap::IndexMap;
use rand::RngExt;

use super::Choice;
use super::node::{Dispatch, Order};

/// A node that sends each call at once.
#[derive(Debug)]
pub struct Blind {
    choice: Choice,
    random: Generator,
    turn: usize,
    /// Requests in flight at each live replica.
    live: IndexMap<usize, u32>,
}

impl Blind {
    pub fn new(choice: Choice, seed: Seed) -> Self {
        let mut random = seed.generator();
        Self {
            choice,
            turn: random.random_range(0..1_000),
            random,
            live: IndexMap::new(),
        }
    }

    pub fn add(&mut self, replica: usize) {
        self.live.insert(replica, 0);
    }

    pub fn leave(&mut self, replica: usize) {
        self.live.shift_remove(&replica);
    }

    pub fn choose(&mut self, call: usize) -> Order {
        if self.live.is_empty() {
            return Order::Refuse { call };
        }
        let place = self.place();
        let Some((replica, in_flight)) = self.live.get_index_mut(place) else {
            return Order::Refuse { call };
        };
        *in_flight += 1;
        let replica = *replica;
        Order::Dispatch(Dispatch { call, replica, id: 0 })
    }

    pub fn finish(&mut self, replica: usize) {
        if let Some(in_flight) = self.live.get_mut(&replica) {
            *in_flight -= 1;
        }
    }

    fn place(&mut self) -> usize {
        let count = self.live.len();
        self.turn += 1;
        match self.choice {
            Choice::RoundRobin => self.turn % count,
            Choice::LeastInFlight => {
                // Equal ones in turn, so that the first is not always taken.
                let start = self.turn;
                let places = (0..count).map(|offset| (start + offset) % count);
                places.min_by_key(|place| self.live[*place]).unwrap_or(0)
            }
            Choice::Random | Choice::RouterBlind | Choice::Router => self.random.random_range(0..count),
        }
    }
}
