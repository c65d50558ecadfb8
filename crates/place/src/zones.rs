//! Zones whose replicas receive no requests.

use std::sync::Arc;

use base::Millis;
use indexmap::{IndexMap, IndexSet};

/// The evacuated zones, and when the evacuations of others ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Zones {
    evacuated: IndexSet<Arc<str>>,
    ended: IndexMap<Arc<str>, Millis>,
}

impl Zones {
    /// Evacuates a zone. Returns whether it was not evacuated before.
    pub fn evacuate(&mut self, zone: &Arc<str>) -> bool {
        self.ended.swap_remove(zone);
        self.evacuated.insert(Arc::clone(zone))
    }

    /// Ends the evacuation of a zone. Returns whether it was evacuated.
    pub fn reopen(&mut self, now: Millis, zone: &Arc<str>) -> bool {
        let was_evacuated = self.evacuated.swap_remove(zone);
        if was_evacuated {
            self.ended.insert(Arc::clone(zone), now);
        }
        was_evacuated
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// The evacuated zones.
    pub fn evacuated(&self) -> impl ExactSizeIterator<Item = &Arc<str>> {
        self.evacuated.iter()
    }

    /// When the evacuation of a zone ended; `None` if it is evacuated, or never was.
    pub fn ended_at(&self, zone: &str) -> Option<Millis> {
        self.ended.get(zone).copied()
    }
}
