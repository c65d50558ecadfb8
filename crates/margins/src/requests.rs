//! Puts together what the lines of one request say.
//!
//! A node writes a line when a dispatch fails and when a request ends, not when it is sent. The first replica gets a
//! request as it arrives, each further one as the dispatch before it fails.

mod ended;
mod open;

use crate::event::Id;
use crate::line::Fields;
use crate::requests::ended::Ended;
use crate::requests::open::{Failure, Open, Send};
use crate::{Bounded, Event, Name, Names, Time};

/// Maximum number of requests that failed at a replica and have not ended.
const MAX_OPEN: usize = 1 << 18;
/// Maximum number of lines that are kept of one request.
const MAX_LINES: usize = 16;
/// Beginning of the cause of a dispatch that the replica did not run.
const NOT_RUN_CAUSE: &str = "replica refused";
/// Beginning of that cause if the request was sent to another replica than it was meant for.
const MISDIRECTED_CAUSE: &str = "replica refused with 421";

/// The requests that have not ended.
#[derive(Debug)]
pub struct Requests {
    open: Bounded<(Name, Id), Open>,
    unplaced: u64,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            open: Bounded::new(MAX_OPEN),
            unplaced: 0,
        }
    }
}

impl Requests {
    /// Records a failed dispatch. `None` if the line lacks a field.
    pub fn fail(&mut self, at: Time, node: Name, fields: &Fields<'_>, names: &mut Names) -> Option<()> {
        let id = Id::from(fields.id.text()?);
        let replica = names.intern(fields.replica.text()?)?;
        let cause = fields.cause.text().unwrap_or("");
        let Some(open) = self.open.get_or_insert_with((node, id), || Open::new(at)) else {
            return Some(());
        };
        if open.failures.len() < MAX_LINES {
            open.failures.push(Failure {
                at,
                replica,
                is_not_run: cause.starts_with(NOT_RUN_CAUSE),
                is_misdirected: cause.starts_with(MISDIRECTED_CAUSE),
            });
        }
        Some(())
    }

    /// Records that a request is sent to a replica with a rate limit. `None` if the line lacks a field.
    pub fn send(&mut self, at: Time, node: Name, fields: &Fields<'_>) -> Option<()> {
        let id = Id::from(fields.id.text()?);
        let attempt = fields.attempt.known()? as usize;
        let Some(open) = self.open.get_or_insert_with((node, id), || Open::new(at)) else {
            return Some(());
        };
        if open.sends.len() < MAX_LINES {
            open.sends.push(Send { at, attempt });
        }
        Some(())
    }

    /// Records the end of an admitted request; returns its events. `None` if the line lacks a field.
    pub fn end(
        &mut self,
        at: Time,
        node: Name,
        fields: &Fields<'_>,
        names: &mut Names,
    ) -> Option<Vec<(Time, Event)>> {
        let ended = Ended::parse(at, node, fields, names)?;
        let open = self.open.remove(&(node, Id::clone(&ended.request)));
        let open = open.unwrap_or_else(|| Open::new(at));
        let mut events = Vec::new();
        if let Some(version) = ended.configuration {
            let handled = Event::Handled {
                request: Id::clone(&ended.request),
                node,
                version,
            };
            events.push((ended.received, handled));
        }
        events.push((ended.received, Event::Arrived(ended.arrival(&open))));
        for index in 0..ended.attempts.min(MAX_LINES as u64) as usize {
            match ended.dispatch(index, &open) {
                Some((sent, dispatch)) => events.push((sent, Event::Sent(dispatch))),
                None => self.unplaced += 1,
            }
        }
        events.push((at, Event::Ended(ended.end(&open))));
        Some(events)
    }

    /// Ends the requests of a node that started anew. `last` is the time of the last line before that.
    pub fn restart(&mut self, node: Name, last: Time) -> Vec<(Time, Event)> {
        let mut events = Vec::new();
        self.open.retain(|(owner, request), open| {
            if *owner == node {
                events.push(open.unfinished(request, node, last));
            }
            *owner != node
        });
        events
    }

    /// Ends the requests that are open at the end of the logs. `last` gives the time of a node's last line.
    pub fn finish<F>(&self, last: F) -> Vec<(Time, Event)>
    where
        F: Fn(Name) -> Time,
    {
        let open = self.open.iter();
        open.map(|((node, request), open)| open.unfinished(request, *node, last(*node)))
            .collect()
    }

    /// Number of requests that there was no room for.
    pub const fn overflow(&self) -> u64 {
        self.open.overflow()
    }

    /// Number of dispatches whose time or replica the logs do not say.
    pub const fn unplaced(&self) -> u64 {
        self.unplaced
    }
}
