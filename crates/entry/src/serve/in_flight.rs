//! Tracks a dispatch in flight for the replica pool, the rollout comparison and the usage counts.

use std::sync::Arc;

use base::Millis;
use place::{Choice, Demand, DispatchKey, DispatchOutcome, Load};
use poison::Suspects;

use super::call::Call;
use super::pick::Pick;
use super::target::{SendDelay, Target};
use crate::Shared;
use crate::edge::Advice;
use crate::shared::{IntermediaryUse, RequestEvent, RolloutNumber};

/// Time after the first event in which a replica crashes that can't process the request.
pub(super) const CRASH_WINDOW: Millis = Millis(300);

/// Ends the dispatch in the pool when dropped. If it has not ended by then, the caller disconnected or the time was up.
#[derive(Debug)]
pub(super) struct InFlight {
    shared: Arc<Shared>,
    endpoint: Arc<str>,
    choice: Choice,
    key: Option<DispatchKey>,
    sent: Millis,
    has_begun: bool,
    /// The rollout in which the request was sent.
    rollout: Option<RolloutNumber>,
    target: Target,
    /// What of the request may crash the replica.
    suspects: Suspects,
    /// When the response or its first event arrived.
    began: Millis,
    /// Whether it was recorded that the replica processed the request.
    has_survived: bool,
    /// Counts the request at the node through which it is sent.
    _intermediary: Option<IntermediaryUse>,
}

impl InFlight {
    /// Records that a request is sent to a replica.
    pub fn new(shared: &Arc<Shared>, call: &Call, pick: Pick, demand: &Demand<'_>) -> Self {
        let Pick { choice, intermediary } = pick;
        let sent = shared.now();
        let key = shared.with_pool(&call.endpoint, |pool| pool.send(sent, &choice, demand));
        let rollout = shared.record_version_start(&call.endpoint, &choice.version);
        let target = Target {
            replica: Arc::clone(&choice.id),
            expected_wait: choice.expected_wait,
            prefill_tokens: choice.prefill_tokens,
            is_spare: choice.is_spare,
            view_age: shared.view().freshness.age(sent),
            send_delay: SendDelay::default(),
            intermediary: intermediary.map(|it| it.node),
        };
        Self {
            has_begun: false,
            rollout,
            target,
            suspects: call.suspects.clone(),
            began: Millis::ZERO,
            has_survived: false,
            _intermediary: intermediary.map(|it| shared.use_intermediary(it.node)),
            shared: Arc::clone(shared),
            endpoint: Arc::clone(&call.endpoint),
            choice,
            key: Some(key),
            sent,
        }
    }

    /// The selected replica.
    pub const fn choice(&self) -> &Choice {
        &self.choice
    }

    /// The selected replica, and what was known of it then.
    pub const fn target(&self) -> &Target {
        &self.target
    }

    /// Records that the replica has not answered in time.
    pub fn record_silence(&self) {
        let Some(key) = self.key else { return };
        let now = self.shared.now();
        self.shared
            .with_pool(&self.endpoint, |pool| pool.record_silence(now, key));
    }

    /// Records the load that the replica reports.
    pub fn report(&self, load: Option<Load>) {
        let Some(load) = load else { return };
        let now = self.shared.now();
        let replica = self.choice.replica;
        self.shared
            .with_pool(&self.endpoint, |pool| pool.record_load(now, replica, load));
    }

    /// Records what the replica says of itself in a response.
    pub fn report_advice(&self, advice: Advice) {
        self.shared
            .record_advice(&self.endpoint, &self.choice.destination(), advice);
    }

    /// Records that the response or an event has arrived.
    pub fn begin(&mut self) {
        let Some(key) = self.key else { return };
        let now = self.shared.now();
        if self.has_begun {
            if now.since(self.began) >= CRASH_WINDOW {
                self.survive();
            }
            return;
        }
        self.has_begun = true;
        self.began = now;
        self.record_version_event(RequestEvent::Answer(now.since(self.sent)));
        self.shared
            .with_pool(&self.endpoint, |pool| pool.begin_answer(now, key));
    }

    /// Records the outcome of the dispatch.
    pub fn end(mut self, outcome: DispatchOutcome) {
        if outcome == DispatchOutcome::Answered {
            self.survive();
        }
        self.finish(outcome);
    }

    /// Records that the connection broke before the response was complete.
    pub fn lose(mut self) {
        let is_early = !self.has_begun || self.shared.now().since(self.began) < CRASH_WINDOW;
        // An intermediary sees by itself whether the replica or the link between the nodes broke.
        if is_early && !self.has_survived && !self.choice.is_indirect {
            self.shared
                .record_crash(self.choice.incarnation_hash, &self.suspects);
        }
        self.finish(DispatchOutcome::Failed);
    }

    fn survive(&mut self) {
        if !self.has_survived {
            self.shared.record_survival(&self.suspects);
        }
        self.has_survived = true;
    }

    /// When the request was sent.
    pub const fn sent(&self) -> Millis {
        self.sent
    }

    fn record_version_event(&self, event: RequestEvent) {
        if let Some(rollout) = self.rollout {
            self.shared
                .record_version_event(&self.endpoint, &self.choice.version, rollout, event);
        }
    }

    fn finish(&mut self, outcome: DispatchOutcome) {
        let Some(key) = self.key.take() else { return };
        let failed = match outcome {
            DispatchOutcome::Answered => Some(false),
            DispatchOutcome::Failed => Some(true),
            DispatchOutcome::Unreachable | DispatchOutcome::NotRun | DispatchOutcome::Cancelled => None,
        };
        self.record_version_event(RequestEvent::End { failed });
        if self.choice.is_trial {
            let is_answered = outcome == DispatchOutcome::Answered;
            let label = if is_answered { "answered" } else { "not_answered" };
            metrics::counter!("bilberrylatch_trials_total", "outcome" => label).increment(1);
        }
        let now = self.shared.now();
        self.shared
            .with_pool(&self.endpoint, |pool| pool.end(now, key, outcome));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.finish(DispatchOutcome::Cancelled);
    }
}
