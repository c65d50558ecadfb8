//! A request that has not ended.

use crate::event::Id;
use crate::{Event, Name, Time};

/// What the lines of a request said before its end.
#[derive(Clone, Debug)]
pub struct Open {
    /// Time of the first line.
    first: Time,
    /// Its failed dispatches, in order.
    pub failures: Vec<Failure>,
    /// Its dispatches to replicas with a rate limit.
    pub sends: Vec<Send>,
}

/// A failed dispatch.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// When it failed.
    pub at: Time,
    /// The replica.
    pub replica: Name,
    /// Whether the replica said that it did not run the request.
    pub is_not_run: bool,
    /// Whether the replica said that the request is meant for another.
    pub is_misdirected: bool,
}

/// A dispatch whose time has a line.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    /// When the replica was chosen.
    pub at: Time,
    /// Number of the dispatch, from 1.
    pub attempt: usize,
}

impl Open {
    /// Creates the state at the first line of a request.
    pub const fn new(first: Time) -> Self {
        Self {
            first,
            failures: Vec::new(),
            sends: Vec::new(),
        }
    }

    /// When the replica of a dispatch was chosen, counted from zero; `None` if no line says.
    pub fn chosen(&self, index: usize, received: Time) -> Option<Time> {
        if let Some(send) = self.sends.iter().find(|send| send.attempt == index + 1) {
            return Some(send.at);
        }
        match index.checked_sub(1) {
            None => Some(received),
            Some(before) => self.failures.get(before).map(|it| it.at),
        }
    }

    /// The event of a request that has no end by `last`.
    pub fn unfinished(&self, request: &Id, node: Name, last: Time) -> (Time, Event) {
        let event = Event::Unfinished {
            request: Id::clone(request),
            node,
            open_ms: last.since(self.first),
        };
        (last.max(self.first), event)
    }
}
