//! Tracks which generation a zone has applied: nodes report to the zone's collectors, which publish the progress.

use base::{Incarnation, Millis};
use indexmap::IndexMap;

use super::{Actions, Gossip};
use crate::Generation;
use crate::item::{Applied, Body, Key};

/// Minimum time between two counts of this node's zone.
const COLLECT_INTERVAL: Millis = Millis(500);
/// Time after which a report is repeated if the primary collector has not counted it yet.
const REPORT_RETRY: Millis = Millis(1_500);
/// The secondary collector publishes its count once the primary one has been behind it for this long.
const SECONDARY_DELAY: Millis = Millis(2_000);
/// Age at which an unchanged count is published again, before it expires.
const REFRESH_AGE: Millis = Millis::from_secs(25);

/// This node's part in tracking the generation that its zone has applied.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// Generations reported by the other nodes of the zone.
    pub(crate) reported: IndexMap<Incarnation, Generation>,
    /// The generation that this node has applied.
    pub(crate) applied: Option<Generation>,
    /// Whether `applied` has not been reported yet.
    is_unreported: bool,
    /// Used by the secondary collector: since when the primary one has been behind.
    primary_behind_since: Option<Millis>,
    /// Version of the last published count.
    version: u32,
}

impl Gossip {
    /// Reports the applied generation to the zone's collectors: first to all of them, then to the primary one until it
    /// has counted the report.
    pub(super) fn report(&mut self, now: Millis, actions: &mut Actions) {
        if now < self.timers.report {
            return;
        }
        if std::mem::take(&mut self.progress.is_unreported) {
            self.send_heartbeats(now, &self.watch.collectors, actions);
            self.timers.report = now + REPORT_RETRY;
            return;
        }
        let is_counted = self.is_counted();
        if !is_counted {
            let primary = self.watch.collectors.iter().take(1);
            let primary: Vec<Incarnation> = primary.copied().collect();
            self.send_heartbeats(now, &primary, actions);
        }
        let wait = if is_counted {
            self.settings.report_interval
        } else {
            REPORT_RETRY
        };
        self.timers.report = now + wait;
    }

    /// Returns the progress last published by the primary collector of this node's zone.
    fn primary_progress(&self) -> Option<&Applied> {
        let primary = self.watch.collectors.first()?;
        match &self.store.get(&Key::Applied(*primary))?.body {
            Body::Applied { applied, .. } => Some(applied),
            _ => None,
        }
    }

    /// Whether the primary collector has counted this node's applied generation.
    fn is_counted(&self) -> bool {
        self.primary_progress().map(|it| it.generation) >= self.progress.applied
    }

    pub(super) fn record_applied(&mut self, now: Millis, generation: Generation, serving: bool) {
        if self.progress.applied < Some(generation) {
            self.progress.applied = Some(generation);
            self.timers.report = now;
            self.progress.is_unreported = true;
        }
        self.serving = serving;
    }

    /// Records the generation that a node of this node's zone reports; reports from other zones are ignored.
    pub(super) fn handle_report(&mut self, from: Incarnation, applied: Generation) {
        let Some(member) = self.view.member(from) else {
            return;
        };
        let me = &self.own_status.node;
        if member.node().zone != me.zone || member.node().region != me.region {
            return;
        }
        let known = self.progress.reported.entry(from).or_default();
        *known = applied.max(*known);
    }

    /// On a collector: counts this node's zone, and publishes the progress if it has changed or needs a refresh.
    pub(super) fn collect(&mut self, now: Millis, actions: &mut Actions) {
        if now < self.timers.collect || !self.watch.is_collector(self.incarnation()) {
            return;
        }
        self.timers.collect = now + COLLECT_INTERVAL;
        let mut applied = self.count_zone();
        if !self.is_needed(now, &applied) {
            return;
        }
        let stored = self.store.get(&Key::Applied(self.incarnation()));
        let needs_refresh = stored.is_none_or(|stored| stored.created.age(now) >= REFRESH_AGE);
        if let Some(Body::Applied { applied: last, .. }) = stored.map(|stored| &stored.body) {
            applied.version = last.version;
            if *last == applied && !needs_refresh {
                return;
            }
        }
        // The version keeps increasing after the last count has expired, so that all nodes accept the new one.
        self.progress.version += 1;
        applied.version = self.progress.version;
        let collector = self.incarnation();
        self.publish(now, Body::Applied { collector, applied }, actions);
    }

    /// Whether this collector should publish its count: the secondary one does so only once the primary one has been
    /// behind for `SECONDARY_DELAY`.
    fn is_needed(&mut self, now: Millis, applied: &Applied) -> bool {
        let is_primary = self.watch.collectors.first() == Some(&self.incarnation());
        let primary = self.primary_progress();
        let is_published = primary.is_some_and(|it| {
            it.generation >= applied.generation && it.incarnation_sum == applied.incarnation_sum
        });
        if !is_primary && is_published {
            self.progress.primary_behind_since = None;
            return false;
        }
        let since = *self.progress.primary_behind_since.get_or_insert(now);
        is_primary || now.since(since) >= SECONDARY_DELAY
    }

    /// Counts the nodes of this node's zone and the lowest generation that they have applied.
    fn count_zone(&self) -> Applied {
        let me = &self.own_status.node;
        let mut applied = Applied {
            zone: me.zone.clone(),
            region: me.region.clone(),
            generation: Generation(u64::MAX),
            nodes: 0,
            incarnation_sum: 0,
            version: 0,
        };
        for member in self.view.present() {
            let node = member.node();
            if node.zone != me.zone || node.region != me.region {
                continue;
            }
            let reported = if node.incarnation == me.incarnation {
                self.progress.applied
            } else {
                self.progress.reported.get(&node.incarnation).copied()
            };
            applied.generation = applied.generation.min(reported.unwrap_or_default());
            applied.nodes += 1;
            applied.incarnation_sum = applied.incarnation_sum.wrapping_add(node.incarnation.0);
        }
        applied
    }
}
