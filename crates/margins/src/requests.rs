//! Puts together what the lines of one request say.
//!
//! A node writes a line when a dispatch fails and when a request ends, not when it is sent. The first replica gets a
//! request as it arrives, each further one as the dispatch before it fails.

mod open;

use crate::event::{Arrival, Dispatch, End, Id, Outcome};
use crate::line::Fields;
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
        let open = self.open.get_or_insert_with((node, id), || Open::new(at))?;
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
        let open = self.open.get_or_insert_with((node, id), || Open::new(at))?;
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
        let request = Id::from(fields.id.text()?);
        let route = names.intern(fields.route.text()?)?;
        let endpoint = names.intern(fields.endpoint.text()?)?;
        let workspace = fields.workspace.text().filter(|it| !it.is_empty());
        let workspace = workspace.and_then(|it| names.intern(it));
        let replica = fields.replica.text().filter(|it| !it.is_empty());
        let replica = replica.and_then(|it| names.intern(it));
        let attempts = fields.attempts.known()? as u64;
        let took_ms = fields.took_ms.known()? as i64;
        let received = at - took_ms;
        let open = self.open.remove(&(node, Id::clone(&request)));
        let open = open.unwrap_or_else(|| Open::new(at));
        let not_run = open.failures.iter().filter(|it| it.is_not_run).count() as u64;
        let runs = attempts.saturating_sub(not_run);
        let mut events = Vec::new();
        if let Some(version) = fields.configuration.known() {
            let handled = Event::Handled {
                request: Id::clone(&request),
                node,
                version: version as u64,
            };
            events.push((received, handled));
        }
        let arrival = Arrival {
            request: Id::clone(&request),
            node,
            endpoint,
            workspace,
            tokens: fields.tokens.known().map(|it| it as u64),
            may_have_run: runs > 0,
        };
        events.push((received, Event::Arrived(arrival)));
        let delay = fields.send_delay_ms.known().unwrap_or(0.0) as i64;
        for index in 0..attempts.min(MAX_LINES as u64) as usize {
            let is_last = index as u64 + 1 == attempts;
            let failure = open.failures.get(index);
            let replica = failure.map(|it| it.replica).or(replica.filter(|_| is_last));
            let chosen = open.chosen(index, received);
            let (Some(replica), Some(chosen)) = (replica, chosen) else {
                self.unplaced += 1;
                continue;
            };
            let dispatch = Dispatch {
                request: Id::clone(&request),
                node,
                endpoint,
                replica,
                is_repeat: index > 0,
                is_misdirected: failure.is_some_and(|it| it.is_misdirected),
            };
            let sent = if is_last { chosen + delay } else { chosen };
            events.push((sent, Event::Sent(dispatch)));
        }
        let end = End {
            request,
            node,
            route,
            outcome: match fields.outcome.text() {
                Some("stream_broken") => Outcome::StreamBroken,
                _ => Outcome::Other,
            },
            took_ms,
            left_ms: fields.left_ms.known().unwrap_or(0.0) as i64,
            runs,
            attempts,
            view_age_ms: fields.view_age_ms.known(),
        };
        events.push((at, Event::Ended(end)));
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
