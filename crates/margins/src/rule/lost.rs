//! LOST: requests without an outcome.

use super::Context;
use crate::event::Outcome;
use crate::{Event, Margin, Place, Time};

/// The margins of requests without an outcome.
#[derive(Debug)]
pub struct Lost {
    without: Margin,
    longest: Margin,
    at_end: Margin,
    broken: Margin,
}

impl Default for Lost {
    fn default() -> Self {
        Self {
            without: Margin::new("LOST", "requests without an outcome")
                .with_lacks("a line at a request's start: only those that failed at a replica are known"),
            longest: Margin::new("LOST", "ms without an outcome, longest"),
            at_end: Margin::new("LOST", "requests open at a process's end")
                .with_lacks("ends of processes that were killed"),
            broken: Margin::new("LOST", "streams broken while time was left"),
        }
    }
}

impl Lost {
    /// Judges an event.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        let bounds = context.bounds;
        match event {
            Event::Ended(end) => {
                let place = || {
                    Place::new(at)
                        .with_node(end.node)
                        .with_subject(end.route)
                        .with_request(&end.request)
                };
                let timeout = bounds.timeout_ms(context.names.text(end.route));
                self.longest.see(end.took_ms as f64, timeout, place());
                self.without.open(bounds.lost_requests);
                self.broken.open(bounds.broken_streams);
                if end.outcome == Outcome::StreamBroken && end.left_ms > 0 {
                    add_one(&mut self.broken, bounds.broken_streams, place());
                }
            }
            Event::Unfinished {
                request,
                node,
                open_ms,
            } => {
                let place = || Place::new(at).with_node(*node).with_request(request);
                self.longest.see(*open_ms as f64, bounds.timeout_ms(""), place());
                self.without.open(bounds.lost_requests);
                add_one(&mut self.without, bounds.lost_requests, place());
            }
            Event::Ending { node, waiting } => {
                self.at_end.see(
                    *waiting as f64,
                    bounds.open_at_end,
                    Place::new(at).with_node(*node),
                );
            }
            _ => {}
        }
    }

    /// The margins.
    pub const fn margins(&self) -> [&Margin; 4] {
        [&self.without, &self.longest, &self.at_end, &self.broken]
    }
}

/// Counts one more; the place is that of the last one.
fn add_one(margin: &mut Margin, bound: Option<f64>, place: Place) {
    let before = margin.worst.as_ref().map_or(0.0, |it| it.value);
    margin.raise(before + 1.0, bound, place);
}
