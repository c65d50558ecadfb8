//! BUDGET: repeats of an endpoint over all nodes.

use super::Context;
use crate::window::Window;
use crate::{Bounded, Event, Margin, Name, Place, Time};

/// Maximum number of endpoints.
const MAX_ENDPOINTS: usize = 1 << 14;

/// The margin of repeats against requests.
#[derive(Debug)]
pub struct Repeats {
    margin: Margin,
    endpoints: Bounded<Name, Endpoint>,
}

/// Requests and repeats of an endpoint.
#[derive(Debug)]
struct Endpoint {
    requests: Window,
    repeats: Window,
    /// The last repeat.
    last: Option<Place>,
    /// All windows that end until then are judged.
    judged: Time,
}

impl Default for Endpoint {
    fn default() -> Self {
        Self {
            requests: Window::default(),
            repeats: Window::default(),
            last: None,
            judged: Time::MIN,
        }
    }
}

impl Default for Repeats {
    fn default() -> Self {
        Self {
            margin: Margin::new("BUDGET", "repeats of an endpoint in a window, all nodes")
                .with_lacks("endpoints of refused requests, and whether a failed dispatch had been sent"),
            endpoints: Bounded::new(MAX_ENDPOINTS),
        }
    }
}

impl Repeats {
    /// Judges an event.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        let name = match event {
            Event::Arrived(arrival) => arrival.endpoint,
            Event::Sent(dispatch) if dispatch.is_repeat => dispatch.endpoint,
            _ => return,
        };
        let Some(window_ms) = context.bounds.retry_window_ms.map(|it| it as i64) else {
            if matches!(event, Event::Sent(_)) {
                self.margin.skip();
            }
            return;
        };
        let Some(endpoint) = self.endpoints.get_or_insert_with(name, Endpoint::default) else {
            return;
        };
        endpoint.advance(at, window_ms, &mut self.margin, context);
        match event {
            Event::Sent(dispatch) => {
                endpoint.repeats.push(at, 1);
                let place = Place::new(at)
                    .with_node(dispatch.node)
                    .with_subject(name)
                    .with_request(&dispatch.request);
                endpoint.last = Some(place);
                self.margin.cases += 1;
                self.margin.unbounded += u64::from(context.bounds.repeats(0).is_none());
            }
            _ => endpoint.requests.push(at, 1),
        }
    }

    /// Judges the windows that end after the last event.
    pub fn finish(&mut self, context: Context<'_>) {
        let Some(window_ms) = context.bounds.retry_window_ms.map(|it| it as i64) else {
            return;
        };
        let names: Vec<Name> = self.endpoints.iter().map(|(name, _)| *name).collect();
        for name in names {
            if let Some(endpoint) = self.endpoints.get_mut(&name) {
                endpoint.advance(Time::MAX, window_ms, &mut self.margin, context);
            }
        }
    }

    /// The margin.
    pub const fn margin(&self) -> &Margin {
        &self.margin
    }

    /// Number of endpoints and requests that there was no room for.
    pub fn overflow(&self) -> u64 {
        let windows = self
            .endpoints
            .iter()
            .map(|(_, it)| it.requests.overflow() + it.repeats.overflow());
        self.endpoints.overflow() + windows.sum::<u64>()
    }
}

impl Endpoint {
    /// Judges the windows that end before `now`, and drops what no later window holds.
    fn advance(&mut self, now: Time, window_ms: i64, margin: &mut Margin, context: Context<'_>) {
        while let Some(end) = self.next_change(window_ms).filter(|end| *end < now) {
            self.judge(end, window_ms, margin, context);
            self.judged = end;
            self.repeats.trim(end - window_ms);
            if self.repeats.is_empty() {
                break;
            }
        }
        // Without repeats, nothing changes until the next one.
        if self.repeats.is_empty() {
            self.judged = now - 1;
        }
        self.requests.trim(self.judged - window_ms - window_ms);
    }

    /// The next time at which the share of the bound may grow: a repeat is added, or a request leaves one of the windows
    /// that count.
    fn next_change(&self, window_ms: i64) -> Option<Time> {
        let leaves = [0, window_ms / 2, window_ms].map(|back| {
            let length = window_ms + back;
            let request = self.requests.next_after(self.judged - length);
            request.map(|at| at + length)
        });
        let added = self.repeats.next_after(self.judged);
        leaves.into_iter().chain([added]).flatten().min()
    }

    /// Judges the window that ends at `end`. Its requests are those of the window itself, of the one before it or of the
    /// one half a window before it, whichever has most.
    fn judge(&self, end: Time, window_ms: i64, margin: &mut Margin, context: Context<'_>) {
        let repeats = self.repeats.sum(end - window_ms, end);
        let requests = [0, window_ms / 2, window_ms].map(|back| {
            let end = end - back;
            self.requests.sum(end - window_ms, end)
        });
        let requests = requests.into_iter().max().unwrap_or(0);
        let bound = context.bounds.repeats(requests);
        if let Some(place) = &self.last {
            margin.raise(repeats as f64, bound, place.clone());
        }
    }
}
