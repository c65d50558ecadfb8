//! BUDGET: replicas that one request runs on.

use super::Context;
use crate::{Event, Margin, Place, Time};

/// The margin of the attempts of a request.
#[derive(Debug)]
pub struct Attempts(Margin);

impl Default for Attempts {
    fn default() -> Self {
        Self(
            Margin::new("BUDGET", "replicas that may have run a request")
                .with_lacks("whether a failed dispatch had been sent"),
        )
    }
}

impl Attempts {
    /// Judges an event.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        let Event::Ended(end) = event else { return };
        if end.attempts == 0 {
            return;
        }
        let place = Place::new(at)
            .with_node(end.node)
            .with_subject(end.route)
            .with_request(&end.request);
        let bound = context.bounds.max_attempts(context.names.text(end.route));
        self.0.see(end.runs as f64, bound, place);
    }

    /// The margin.
    pub const fn margin(&self) -> &Margin {
        &self.0
    }
}
