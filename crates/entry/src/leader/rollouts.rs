//! Rollouts of endpoints to other versions.
//!
//! Every node compares the versions by the published reports of all nodes and by its own requests, and stops sending
//! requests to a bad version even if the store is unreachable. The leader maintains the record of each rollout and
//! reports the progress to operators.

use std::sync::Arc;

use base::Millis;
use bytes::Bytes;
use indexmap::IndexMap;
use place::State;
use rollout::Exclusions;
use rollout::fast::{self, Evidence, Judgement, Phase, Step, Tally};
use store::{Condition, Error, Guard, Write};

use super::Election;
use super::usage::reports;
use crate::Shared;
use crate::edge::{self, RolloutOrder, RolloutProgress};
use crate::follow::ROLLOUTS_PREFIX;
use crate::publish::Comparison;
use crate::view::{Rollout, Stage};

/// Fraction of the allowed canary share that is used, since requests are selected at random.
const CANARY_SHARE_RATIO: f64 = 0.8;

/// Carries out the operators' rollout orders.
#[derive(Debug)]
pub(super) struct RolloutController {
    shared: Arc<Shared>,
    /// State last reported to operators by this node, by endpoint, with the revision of the order.
    published: IndexMap<Arc<str>, (u64, edge::RolloutState)>,
    /// Era of the store in which they were reported.
    era: u64,
    /// Endpoints whose records only later builds can read, with the revision of the record.
    left_to_others: IndexMap<Arc<str>, store::Revision>,
}

impl RolloutController {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            published: IndexMap::new(),
            era: 0,
            left_to_others: IndexMap::new(),
        }
    }

    /// Advances each rollout by one step.
    pub async fn tick(&mut self, election: &Election) {
        let era = self.shared.store.era();
        if era != self.era {
            self.era = era;
            self.published.clear();
        }
        let orders: Vec<(RolloutOrder, u64)> = self.shared.view().rollouts.orders.values().cloned().collect();
        for (order, revision) in orders {
            let record = self.shared.view().rollouts.records.get(&order.endpoint).cloned();
            let record = record.filter(|record| record.order >= revision);
            let comparison = self.compare_versions(&order, revision);
            if election.fence().is_none() || self.is_left_to_others(&order, revision) {
                continue;
            }
            let result = match record {
                None => self.start(&order, revision).await,
                Some(record) if self.is_lost(&order.endpoint, &record) => {
                    self.write(&order.endpoint, &record).await
                }
                Some(record) => {
                    let published = self.publish_progress(&order, &record).await;
                    published.and(self.advance(&order, record, comparison).await)
                }
            };
            if let Err(error) = result {
                log::warn!(endpoint:% = order.endpoint, cause:% = error; "failed to advance a rollout");
            }
        }
    }

    /// Whether the stored record is of a later build, whose nodes carry out the rollout once one of them leads.
    fn is_left_to_others(&mut self, order: &RolloutOrder, revision: u64) -> bool {
        let key = format!("{ROLLOUTS_PREFIX}{}", order.endpoint);
        let stored = self.shared.view().internal.get(&key).cloned();
        let Some(stored) = stored.filter(|it| Rollout::is_of_later_build(&it.value, revision)) else {
            return false;
        };
        let before = self
            .left_to_others
            .insert(Arc::clone(&order.endpoint), stored.revision);
        if before != Some(stored.revision) {
            log::warn!(endpoint:% = order.endpoint, target:% = order.target, revision:% = stored.revision;
                "move left to nodes of a later build, as its record can't be read");
        }
        true
    }

    /// Whether the store lacks what is known of a rollout, since it was restored from a copy.
    fn is_lost(&self, endpoint: &str, record: &Rollout) -> bool {
        let view = self.shared.view();
        let stored = view.internal.get(&format!("{ROLLOUTS_PREFIX}{endpoint}"));
        let stored = stored.and_then(|own| serde_json::from_slice::<Rollout>(&own.value).ok());
        stored.as_ref() != Some(record)
    }

    /// Compares the versions by the requests of all nodes. If the new version is bad, this node stops sending requests
    /// to it.
    fn compare_versions(&self, order: &RolloutOrder, revision: u64) -> (Judgement, Comparison) {
        let own = self.shared.comparisons().get(&order.endpoint).copied();
        let mut sum = own.filter(|own| own.order == revision).unwrap_or_default();
        let own = self.shared.incarnation;
        for (node, report) in reports(&self.shared) {
            let Some(compared) = report.rollouts.get(&order.endpoint) else {
                continue;
            };
            if node != own && compared.order == revision {
                sum.old.add(&compared.old);
                sum.new.add(&compared.new);
                sum.old_in_flight += compared.old_in_flight;
            }
        }
        let judgement = Judgement::compare(&sum.old, &sum.new);
        if judgement.is_bad() {
            let before = self
                .shared
                .view()
                .rollouts
                .vetoed
                .insert(Arc::clone(&order.endpoint), revision);
            if before != Some(revision) {
                log::warn!(endpoint:% = order.endpoint, version:% = order.target, judgement = judgement.label(),
                    new_ended = sum.new.ended, new_failed = sum.new.failed, old_ended = sum.old.ended,
                    old_failed = sum.old.failed; "version vetoed");
            }
        }
        (judgement, sum)
    }

    /// Starts a rollout with the canary stage. It is done at once if the traffic goes to the version already.
    async fn start(&self, order: &RolloutOrder, revision: u64) -> Result<(), Error> {
        let now_ms = self.unix_ms();
        let (mut excluded, is_settled) = {
            let view = self.shared.view();
            let rollouts = &view.rollouts;
            (
                rollouts.excluded_by_order(&order.endpoint, &order.target),
                rollouts.is_settled(&order.endpoint, &order.target),
            )
        };
        let current = self.current_version(order, &excluded);
        let (from, stage, reason) = if is_settled && current.is_empty() {
            (current, Stage::Done, "the traffic goes to this version already")
        } else {
            (current, Stage::Canary, "ordered")
        };
        excluded.remove(&from);
        let record = Rollout {
            from,
            target: Arc::clone(&order.target),
            order: revision,
            since_ms: now_ms,
            stage_since_ms: now_ms,
            stage,
            share: self.shared.settings().canary_share * CANARY_SHARE_RATIO,
            answered_at_move: 0,
            excluded,
            reason: reason.to_owned(),
            other: serde_json::Map::new(),
        };
        self.write(&order.endpoint, &record).await
    }

    async fn advance(
        &self,
        order: &RolloutOrder,
        record: Rollout,
        (judgement, sum): (Judgement, Comparison),
    ) -> Result<(), Error> {
        let now_ms = self.unix_ms();
        let phase = match record.stage {
            Stage::Canary => Phase::Canary,
            Stage::Moved => Phase::Moved {
                since: Millis(now_ms.saturating_sub(record.stage_since_ms)),
                answered_before: record.answered_at_move,
            },
            Stage::Done | Stage::Undone => return Ok(()),
        };
        let elapsed = Millis(now_ms.saturating_sub(record.since_ms));
        let evidence = Evidence {
            old: sum.old,
            new: sum.new,
            share: record.share,
            is_drained: sum.old_in_flight == 0,
        };
        let step = fast::next(phase, elapsed, order.within, &evidence);
        let stage = match step {
            Step::Wait => return Ok(()),
            Step::Move => Stage::Moved,
            Step::Finish => Stage::Done,
            Step::Undo => Stage::Undone,
        };
        let Tally {
            ended, failed, timed, ..
        } = sum.new;
        let old_timed = sum.old.timed;
        let record = Rollout {
            stage,
            stage_since_ms: now_ms,
            answered_at_move: timed,
            reason: format!(
                "{}: {failed} of {ended} requests failed, {timed} answered, {old_timed} by the old version",
                judgement.label()
            ),
            ..record
        };
        self.write(&order.endpoint, &record).await
    }

    /// The version that most ready replicas have, apart from the target and the excluded ones. If there is none, the one that
    /// the traffic was last moved to.
    fn current_version(&self, order: &RolloutOrder, excluded: &Exclusions) -> Arc<str> {
        let mut ready: IndexMap<Arc<str>, usize> = IndexMap::new();
        self.shared.with_pool(&order.endpoint, |pool| {
            let specs = pool.specs().filter(|spec| spec.state == State::Ready);
            for spec in specs.filter(|spec| spec.version != order.target) {
                *ready.entry(Arc::clone(&spec.version)).or_default() += 1;
            }
        });
        let allowed = ready.iter().filter(|(version, _)| !excluded.contains(version));
        if let Some((version, _)) = allowed.max_by_key(|(_, replicas)| **replicas) {
            return Arc::clone(version);
        }
        let record = self.shared.view().rollouts.records.get(&order.endpoint).cloned();
        let moved =
            record.filter(|record| record.stage == Stage::Moved && ready.contains_key(&record.target));
        moved.map_or_else(|| Arc::from(""), |record| record.target)
    }

    /// Writes the record, conditional on the revision in the view, so that a superseded leader cannot change it.
    async fn write(&self, endpoint: &str, record: &Rollout) -> Result<(), Error> {
        let rest = format!("{ROLLOUTS_PREFIX}{endpoint}");
        let era = self.shared.store.era();
        let known = self.shared.view().internal.get(&rest).map(|own| own.revision);
        // A record of an earlier era was lost when the store was restored.
        let known = known.filter(|revision| revision.era == era);
        let condition = known.map_or(Condition::Absent, Condition::Revision);
        let value = serde_json::to_vec(record).map_err(|error| Error::Protocol(error.to_string()))?;
        let key = format!("{}{rest}", self.shared.edge.internal_prefix());
        let write = Write::new(key, Bytes::from(value), condition);
        self.shared.store.write(&write).await?;
        log::info!(endpoint, target:% = record.target, stage:? = record.stage, share = record.share,
            excluded:? = record.excluded, reason = record.reason; "move decided");
        Ok(())
    }

    /// Reports the state of the record to operators, once per state. Only records that are already in the store are
    /// reported.
    async fn publish_progress(&mut self, order: &RolloutOrder, record: &Rollout) -> Result<(), Error> {
        let state = match record.stage {
            Stage::Canary | Stage::Moved => edge::RolloutState::Running,
            Stage::Done => edge::RolloutState::Done,
            Stage::Undone => edge::RolloutState::Undone,
        };
        if self.published.get(&order.endpoint) == Some(&(record.order, state)) {
            return Ok(());
        }
        let progress = RolloutProgress {
            endpoint: Arc::clone(&order.endpoint),
            target: Arc::clone(&order.target),
            state,
        };
        let (key, value) = self.shared.edge.encode_progress(&progress);
        let write = Write::new(key, value, Condition::Any);
        let write = match self.guard(&order.endpoint) {
            Some(guard) => write.with_guard(guard),
            None => write,
        };
        self.shared.store.write_once(&write).await?;
        log::info!(endpoint:% = order.endpoint, state = state.label(); "operators told");
        self.published
            .insert(Arc::clone(&order.endpoint), (record.order, state));
        Ok(())
    }

    /// The record that a reported state rests on, so that a superseded leader that was suspended does not replace the state that
    /// its successor has reported.
    fn guard(&self, endpoint: &str) -> Option<Guard> {
        let rest = format!("{ROLLOUTS_PREFIX}{endpoint}");
        let revision = self.shared.view().internal.get(&rest)?.revision;
        let key = format!("{}{rest}", self.shared.edge.internal_prefix());
        Some(Guard { key, revision })
    }

    fn unix_ms(&self) -> u64 {
        let now = self.shared.now();
        self.shared.wall_clock().unix_ms(now).unwrap_or(0)
    }
}
