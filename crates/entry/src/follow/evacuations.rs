//! Applies the records of evacuated zones.

use std::sync::Arc;

use base::{Millis, Revision};

use super::apply::{Applier, RecordKind};

impl Applier {
    /// Excludes the replicas of a zone.
    pub(super) fn put_evacuation(&mut self, zone: Arc<str>, revision: Revision) -> RecordKind {
        if self.evacuations.record(&zone, revision) {
            log::info!(zone:%, revision = revision.number, era = revision.era, evacuated = self.evacuations.zones().count(),
                view_age_ms = self.view_age_ms(); "zone evacuated");
        }
        self.shared.evacuate_zone(&zone);
        RecordKind::Evacuation(zone)
    }

    /// The zone that the record of a key evacuates.
    pub(super) fn evacuation(&self, key: &str) -> Option<Arc<str>> {
        match self.known.get(key) {
            Some(RecordKind::Evacuation(zone)) => Some(Arc::clone(zone)),
            _ => None,
        }
    }

    /// Admits the replicas of a zone again whose record is not there any more, unless the store lost the record.
    pub(super) fn delete_evacuation(&mut self, key: &str, zone: &str, revision: Revision) {
        let now = self.shared.now();
        match self.evacuations.record_absence(now, zone, revision) {
            Some(until) => {
                log::warn!(zone, era = revision.era, for_ms = until.since(now).0;
                    "record of an evacuated zone missing in the restored store, the zone stays evacuated");
                self.shared.notify_deletions_changed();
            }
            None => self.end_evacuation(key, zone, "record deleted"),
        }
    }

    /// Admits the replicas of a zone again.
    pub(super) fn end_evacuation(&mut self, key: &str, zone: &str, reason: &str) {
        self.evacuations.end(zone);
        log::info!(zone, reason, evacuated = self.evacuations.zones().count(), view_age_ms = self.view_age_ms();
            "evacuation ended");
        self.forget(key, reason);
    }

    /// Ends the evacuations whose records were not written again after the store was restored.
    pub(super) fn end_due_evacuations(&mut self, now: Millis) {
        for zone in self.evacuations.take_due(now) {
            let is_of_zone = |kind: &RecordKind| matches!(kind, RecordKind::Evacuation(it) if *it == zone);
            let key = self.known.iter().find(|(_, kind)| is_of_zone(kind));
            if let Some(key) = key.map(|(key, _)| key.clone()) {
                self.end_evacuation(
                    &key,
                    &zone,
                    "record not written again after a restore of the store",
                );
            }
        }
    }

    pub(super) fn view_age_ms(&self) -> i64 {
        let age = self.shared.view().freshness.age(self.shared.now());
        age.map_or(-1, |age| age.0 as i64)
    }
}
