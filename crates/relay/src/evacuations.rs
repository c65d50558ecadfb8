//! Evacuated zones, as the operators' records name them.

use std::sync::Arc;

use base::{Millis, Revision};
use indexmap::IndexMap;

/// Time for which a zone stays evacuated whose record is missing in a store that was restored from an older copy. Operators
/// write lost records again within seconds. A zone whose evacuation had ended in the lost span is unused for as long.
const REWRITE_TIMEOUT: Millis = Millis(30_000);

#[derive(Clone, Copy, Debug)]
struct Evacuation {
    revision: Revision,
    /// Until when the operator may write the record again that a restored store lacks.
    missing_until: Option<Millis>,
}

/// Decides which zones are evacuated.
///
/// Operators' records have no lease. A deletion that the store reports is the operator's, so it takes effect at once, also after
/// an outage. A record that is missing in a later era was lost with the span since the copy was taken.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: IndexMap<Arc<str>, Evacuation>,
}

impl Evacuations {
    /// Records that the record of a zone exists. Returns whether its evacuation begins by that.
    pub fn record(&mut self, zone: &Arc<str>, revision: Revision) -> bool {
        let evacuation = Evacuation {
            revision,
            missing_until: None,
        };
        self.zones.insert(Arc::clone(zone), evacuation).is_none()
    }

    /// Records that the record of a zone does not exist at a revision. Returns until when its evacuation goes on nevertheless;
    /// `None` if it has ended.
    ///
    /// NB: the difference between two listings of a restored store names lost records as deleted, too, so the era decides.
    pub fn record_absence(&mut self, now: Millis, zone: &str, revision: Revision) -> Option<Millis> {
        let evacuation = self.zones.get_mut(zone)?;
        if evacuation.revision.era < revision.era {
            return Some(*evacuation.missing_until.get_or_insert(now + REWRITE_TIMEOUT));
        }
        self.end(zone);
        None
    }

    /// Ends the evacuation of a zone whose record was deleted.
    pub fn end(&mut self, zone: &str) {
        self.zones.swap_remove(zone);
    }

    /// When the next evacuation ends whose record was not written again; `None` if none is missing.
    pub fn next_due(&self) -> Option<Millis> {
        self.zones.values().filter_map(|it| it.missing_until).min()
    }

    /// Ends the evacuations whose records were not written again in time, and returns their zones.
    pub fn take_due(&mut self, now: Millis) -> Vec<Arc<str>> {
        let is_due = |it: &Evacuation| it.missing_until.is_some_and(|until| until <= now);
        let due = self.zones.iter().filter(|(_, it)| is_due(it));
        let zones: Vec<Arc<str>> = due.map(|(zone, _)| Arc::clone(zone)).collect();
        for zone in &zones {
            self.end(zone);
        }
        zones
    }

    /// The evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.keys()
    }
}
