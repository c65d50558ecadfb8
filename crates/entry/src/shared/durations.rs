//! How long answers take, which tells whether a request can end before the node does.

use std::sync::Arc;

use base::Millis;
use place::shutdown;
use table::Route;

use super::{Shared, lock};

impl Shared {
    /// Records that an answer to a request of this route took so long.
    pub fn record_duration(&self, route: &Arc<str>, took: Millis) {
        lock(&self.durations).record(self.now(), route, took);
    }

    /// The deadline for the answer to a request; `None` if it must be refused since this node shuts down.
    pub fn answer_deadline(&self, route: &Route, requested: Millis) -> Option<Millis> {
        let now = self.now();
        let shutdown = self.lifecycle.shutdown();
        let longest = shutdown.and_then(|_| lock(&self.durations).longest(now, &route.name));
        shutdown::answer_deadline(now, requested, longest, shutdown)
    }
}
