//! A value that readers see late.

use std::collections::VecDeque;

use base::Millis;

/// Past states of a value, oldest first.
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
    /// A value that is seen `lag` late.
    pub fn new(lag: Millis, value: T) -> Self {
        let since = Millis::ZERO;
        Self {
            lag,
            states: VecDeque::from([State { since, value }]),
        }
    }

    /// Changes the lag from now on.
    pub fn set_lag(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// The value holds from `now` on.
    pub fn push(&mut self, now: Millis, value: T) {
        self.states.push_back(State { since: now, value });
    }

    /// The value as a reader sees it at `now`.
    pub fn visible_at(&mut self, now: Millis) -> &T {
        let horizon = now - self.lag;
        while self.states.get(1).is_some_and(|next| next.since <= horizon) {
            self.states.pop_front();
        }
        &self.states[0].value
    }
}
