//! Applies registrations of replicas.

use std::sync::Arc;

use base::{Millis, Revision};
use place::{Spec, State};

use super::apply::{Applier, RecordKind};

impl Applier {
    pub(super) fn put_replica(&mut self, key: &str, spec: Spec, revision: Revision) -> RecordKind {
        let (endpoint, id) = (Arc::clone(&spec.endpoint), Arc::clone(&spec.id));
        let read_before = match self.known.get(key) {
            Some(RecordKind::Replica {
                endpoint: before,
                revision: read,
                ..
            }) => {
                if *before != endpoint {
                    self.shared.with_pool(before, |pool| pool.remove(&id));
                }
                Some(*read)
            }
            _ => None,
        };
        let remaining = spec.warmup_remaining;
        let now = self.shared.now();
        let is_new = self.shared.with_pool(&endpoint, |pool| {
            let before = pool.specs().find(|it| it.id == id).map(|it| it.state);
            if before != Some(spec.state) {
                let state = match spec.state {
                    State::Ready => "ready",
                    State::Draining => "draining",
                };
                log::info!(replica:% = id, endpoint:% = endpoint, zone:% = spec.zone, version:% = spec.version,
                    reclaimable = spec.reclaimable, state; "replica changed");
            }
            pool.register(now, spec)
        });
        // A record that is read again says nothing new. The first one of a new replica may have been written a while before,
        // and one that came back with a restored store, too.
        if read_before != Some(revision) {
            let is_latest = if is_new {
                self.is_first_listing
            } else {
                read_before.is_some_and(|before| before.era == revision.era && before < revision)
            };
            self.record_cold(&endpoint, &id, remaining, is_latest);
        }
        RecordKind::Replica {
            endpoint,
            id,
            revision,
        }
    }

    fn record_cold(&self, endpoint: &Arc<str>, id: &str, remaining: Millis, is_latest: bool) {
        let now = self.shared.now();
        let (became_cold, left) = self.shared.with_pool(endpoint, |pool| {
            let became_cold = pool.record_cold(now, id, remaining, is_latest);
            (became_cold, pool.cold_left_of(now, id))
        });
        if became_cold {
            log::info!(replica = id, endpoint:%, said_ms = remaining.0, left_ms = left.0, is_latest,
                view_age_ms = self.view_age_ms(); "replica is cold");
        }
    }
}
