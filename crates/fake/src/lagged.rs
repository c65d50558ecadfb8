//! Values that readers see with a lag.

use std::collections::VecDeque;

use base::Millis;

/// Value that readers see with a lag; holds its past states, oldest first.
#[derive(Clone, Debug)]
pub struct Lagged<T> {
    lag: Millis,
    states: VecDeque<State<T>>,
}

#[derive(Clone, Debug)]
struct State<T> {
    since: Millis,
    value: T,
}

impl<T> Lagged<T> {
    /// Creates a value whose changes readers see with a delay of `lag`. Its initial state is visible at once.
    pub fn new(lag: Millis, value: T) -> Self {
        let since = Millis::ZERO;
        Self {
            lag,
            states: VecDeque::from([State { since, value }]),
        }
    }

    /// Sets the lag.
    pub fn set_lag(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// Records the value that holds from `now` on.
    pub fn push(&mut self, now: Millis, value: T) {
        self.states.push_back(State { since: now, value });
    }

    /// Returns the value that readers see at `now`, and drops older states.
    pub fn visible_at(&mut self, now: Millis) -> &T {
        while self
            .states
            .get(1)
            .is_some_and(|next| next.since + self.lag <= now)
        {
            self.states.pop_front();
        }
        &self.states[0].value
    }
}
