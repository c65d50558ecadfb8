//! The reports of applied generations to the zone's collectors, and the collectors' counts.

use base::{Incarnation, Millis};
use indexmap::IndexMap;

use super::{Actions, Gossip};
use crate::Generation;
use crate::item::{Applied, Body, Key};

/// Least time between two counts of the own zone.
const COLLECT: Millis = Millis(500);
/// Time after which a report is repeated that the collector has not counted yet.
const REPEAT: Millis = Millis(1_500);
/// The second collector tells its count if the first has been behind it for this long.
const STAND_IN: Millis = Millis(2_000);
/// Age at which an unchanged count is told again, before it expires.
const RETELL: Millis = Millis::from_secs(25);

/// The own part in counting which generation the zone's nodes have applied.
#[derive(Clone, Debug, Default)]
pub(crate) struct Count {
    /// What the nodes of the own zone told.
    pub(crate) told: IndexMap<Incarnation, Generation>,
    /// What this node has applied.
    pub(crate) own: Option<Generation>,
    /// Whether that has not been reported yet.
    is_new: bool,
    /// As the second collector: since when the first has been behind.
    behind: Option<Millis>,
    /// Version of the last count told.
    version: u32,
}

impl Gossip {
    /// Reports the applied generation to the zone's collectors: to both when it is new, then to the first until that
    /// has counted it.
    pub(super) fn report(&mut self, now: Millis, actions: &mut Actions) {
        if now < self.timers.report {
            return;
        }
        if std::mem::take(&mut self.count.is_new) {
            self.send_heartbeats(now, &self.watch.collectors, actions);
            self.timers.report = now + REPEAT;
            return;
        }
        let is_counted = self.is_counted();
        if !is_counted {
            let first = self.watch.collectors.iter().take(1);
            let first: Vec<Incarnation> = first.copied().collect();
            self.send_heartbeats(now, &first, actions);
        }
        let wait = if is_counted { self.settings.report } else { REPEAT };
        self.timers.report = now + wait;
    }

    /// What the first collector of the own zone told last.
    fn first_count(&self) -> Option<&Applied> {
        let first = self.watch.collectors.first()?;
        match &self.store.get(&Key::Applied(*first))?.body {
            Body::Applied { applied, .. } => Some(applied),
            _ => None,
        }
    }

    fn is_counted(&self) -> bool {
        self.first_count().map(|it| it.generation) >= self.count.own
    }

    pub(super) fn note_applied(&mut self, now: Millis, generation: Generation, serving: bool) {
        if self.count.own < Some(generation) {
            self.count.own = Some(generation);
            self.timers.report = now;
            self.count.is_new = true;
        }
        self.serving = serving;
    }

    pub(super) fn take_report(&mut self, from: Incarnation, applied: Generation) {
        let Some(member) = self.view.member(from) else {
            return;
        };
        let me = &self.me.node;
        if member.node().zone != me.zone || member.node().region != me.region {
            return;
        }
        let known = self.count.told.entry(from).or_default();
        *known = applied.max(*known);
    }

    /// As a collector: counts how far the own zone has got, and tells it when that has changed.
    pub(super) fn collect(&mut self, now: Millis, actions: &mut Actions) {
        if now < self.timers.collect || !self.watch.is_collector(self.me()) {
            return;
        }
        self.timers.collect = now + COLLECT;
        let mut applied = self.count_zone();
        if !self.is_needed(now, &applied) {
            return;
        }
        let held = self.store.get(&Key::Applied(self.me()));
        let is_old = held.is_none_or(|held| held.put.age(now) >= RETELL);
        if let Some(Body::Applied { applied: last, .. }) = held.map(|held| &held.body) {
            applied.version = last.version;
            if *last == applied && !is_old {
                return;
            }
        }
        // NB: grows on when the last count has expired, so that it is news to all.
        self.count.version += 1;
        applied.version = self.count.version;
        let collector = self.me();
        self.put(now, Body::Applied { collector, applied }, actions);
    }

    /// Whether this collector's count is to be told: the second's only if the first has been behind for a while.
    fn is_needed(&mut self, now: Millis, applied: &Applied) -> bool {
        let is_first = self.watch.collectors.first() == Some(&self.me());
        let first = self.first_count();
        let is_told = first.is_some_and(|it| {
            it.generation >= applied.generation && it.incarnation_sum == applied.incarnation_sum
        });
        if !is_first && is_told {
            self.count.behind = None;
            return false;
        }
        let since = *self.count.behind.get_or_insert(now);
        is_first || now.since(since) >= STAND_IN
    }

    fn count_zone(&self) -> Applied {
        let me = &self.me.node;
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
            let told = if node.incarnation == me.incarnation {
                self.count.own
            } else {
                self.count.told.get(&node.incarnation).copied()
            };
            applied.generation = applied.generation.min(told.unwrap_or_default());
            applied.nodes += 1;
            applied.incarnation_sum = applied.incarnation_sum.wrapping_add(node.incarnation.0);
        }
        applied
    }
}
