//! Age of the view on which a replica was chosen.

use super::Context;
use crate::{Event, Margin, Place, Time};

/// The margin of the view's age.
#[derive(Debug)]
pub struct View(Margin);

impl Default for View {
    fn default() -> Self {
        Self(
            Margin::new("VIEW", "ms, age of the view at a request's last dispatch")
                .with_lacks("the age at the dispatches before the last one, and while it was not known"),
        )
    }
}

impl View {
    /// Judges an event.
    pub fn apply(&mut self, at: Time, event: &Event, context: Context<'_>) {
        let Event::Ended(end) = event else { return };
        let Some(age) = end.view_age_ms.filter(|_| end.attempts > 0) else {
            return;
        };
        let place = Place::new(at)
            .with_node(end.node)
            .with_subject(end.route)
            .with_request(&end.request);
        self.0.see(age, context.bounds.view_age_ms, place);
    }

    /// The margin.
    pub const fn margin(&self) -> &Margin {
        &self.0
    }
}
