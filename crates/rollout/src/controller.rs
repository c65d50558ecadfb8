//! The controller of an endpoint's rollouts.
//!
//! The store is authoritative: shares are announced and the end of a rollout is reported only from the stored
//! record. After a write whose answer was lost, the controller reads the record back before it writes again.
//! A new holder of the role writes the record before it does anything else, so that the next compare-and-swap
//! of a holder that was paused and superseded fails.

pub mod decide;
pub mod gate;
pub mod pace;
pub mod pending;
pub mod pool;
pub mod request;
pub mod role;

use std::collections::VecDeque;

use base::Millis;
use indexmap::IndexMap;

use crate::action::Refusal;
use crate::controller::pending::Pending;
use crate::controller::pool::Pool;
use crate::controller::request::{Answer, Request};
use crate::controller::role::Role;
use crate::event::StoreResult;
use crate::guard::Settings;
use crate::{Action, Event, Id, Record, Stored, Summary, Veto, WallTime};

/// Largest number of operators' requests waiting.
const MAX_REQUESTS: usize = 16;
/// Largest number of vetoes kept.
const MAX_VETOES: usize = 16;

/// Runs one endpoint's rollouts. This is a leased role, which any node can take over from the stored record.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    settings: Settings,
    role: Option<Role>,
    stored: Option<Stored>,
    pending: Pending,
    requests: VecDeque<Request>,
    vetoes: IndexMap<Id, Veto>,
    pool: Pool,
    late_veto_reported: Option<Id>,
    /// Whether a write that ends the rollout as done may have taken effect.
    done_may_be_stored: bool,
}

impl Controller {
    /// Creates a controller that does not hold the role.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the settings, which should be those of the guards.
    pub const fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// The stored record, as last seen by this controller.
    pub const fn stored(&self) -> Option<&Stored> {
        self.stored.as_ref()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.handle(now, event, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Acquired {
                fence,
                stored,
                wall_time,
            } => {
                self.release_role(now, None, actions);
                self.role = Some(Role::new(fence, wall_time, now));
                self.adopt(now, stored, actions);
            }
            Event::Released => self.release_role(now, None, actions),
            Event::Declared(plan) => self.enqueue(Request::Declare(plan), actions),
            Event::Undo { rollout, operator } => self.enqueue(Request::Undo { rollout, operator }, actions),
            Event::Reported(summary) => self.handle_report(now, *summary, actions),
            Event::Vetoed(veto) => self.add_veto(*veto),
            Event::Stored(result) => self.handle_store_result(now, result, actions),
            Event::Loaded(stored) => self.resolve_write(now, stored, actions),
            Event::LoadFailed => {
                self.pending.retry(now);
                self.veto_pending_undo(actions);
            }
            Event::Tick => self.pending.expire(now),
        }
    }

    /// Answers the waiting requests, by `record` where it decides them, and resets all state but the
    /// settings and the vetoes, which are permanent.
    fn release_role(&mut self, now: Millis, record: Option<&Record>, actions: &mut Vec<Action>) {
        let wall_time = self.role.map_or(WallTime::default(), |role| role.wall_time(now));
        for request in std::mem::take(&mut self.requests) {
            let answer = record.map_or(Answer::NeedsWrite, |record| {
                request.answer(Some(record), wall_time)
            });
            actions.push(answer.action(request.rollout(), Refusal::NotController));
        }
        let vetoes = std::mem::take(&mut self.vetoes);
        *self = Self {
            settings: self.settings,
            vetoes,
            ..Self::new()
        };
    }

    fn enqueue(&mut self, request: Request, actions: &mut Vec<Action>) {
        let rollout = request.rollout();
        if self.role.is_none() {
            actions.push(Action::Refuse {
                rollout,
                refusal: Refusal::NotController,
            });
        } else if self.requests.len() >= MAX_REQUESTS {
            actions.push(Action::Refuse {
                rollout,
                refusal: Refusal::Busy,
            });
        } else {
            self.requests.push_back(request);
        }
    }

    fn handle_report(&mut self, now: Millis, summary: Summary, actions: &mut Vec<Action>) {
        let Some(record) = self.record().filter(|record| record.plan.id == summary.rollout) else {
            return;
        };
        if !record.stage.is_running() {
            return;
        }
        let rollout = summary.rollout;
        self.pool.update(now, summary);
        if self.vetoes.contains_key(&rollout) {
            return;
        }
        let Some(finding) = self.pool.finding(&self.settings) else {
            return;
        };
        let Some(record) = self.record() else {
            return;
        };
        let veto = Veto {
            rollout,
            endpoint: record.plan.endpoint.clone(),
            version: record.plan.to.clone(),
            route: finding.route,
            evidence: finding.evidence,
        };
        actions.push(Action::Veto(Box::new(veto.clone())));
        self.add_veto(veto);
    }

    fn add_veto(&mut self, veto: Veto) {
        if self.vetoes.len() >= MAX_VETOES && !self.vetoes.contains_key(&veto.rollout) {
            self.vetoes.shift_remove_index(0);
        }
        self.vetoes.entry(veto.rollout).or_insert(veto);
    }

    fn handle_store_result(&mut self, now: Millis, result: StoreResult, actions: &mut Vec<Action>) {
        let Some(record) = self.pending.record_in_flight() else {
            return;
        };
        match result {
            StoreResult::Ok(generation) => {
                let stored = Stored {
                    record: record.clone(),
                    generation,
                };
                self.resolve_write(now, Some(Box::new(stored)), actions);
            }
            StoreResult::Conflict(stored) if self.is_newer(stored.as_deref()) => {
                self.resolve_write(now, stored, actions);
            }
            StoreResult::Conflict(_) | StoreResult::Lost | StoreResult::Unavailable => {
                self.pending.retry(now);
                self.veto_pending_undo(actions);
            }
        }
    }

    fn resolve_write(&mut self, now: Millis, stored: Option<Box<Stored>>, actions: &mut Vec<Action>) {
        self.pending.clear();
        self.done_may_be_stored = false;
        self.adopt(now, stored, actions);
    }

    fn is_newer(&self, stored: Option<&Stored>) -> bool {
        let known = self.stored.as_ref().map_or(0, |known| known.generation);
        stored.is_some_and(|stored| stored.generation > known)
    }

    /// Adopts the stored record if it is newer: announces its shares and reports a verdict that this holder
    /// wrote. A record written by a newer holder ends this one's role.
    fn adopt(&mut self, now: Millis, stored: Option<Box<Stored>>, actions: &mut Vec<Action>) {
        let (Some(role), Some(stored)) = (self.role, stored) else {
            return;
        };
        if !self.is_newer(Some(&stored)) {
            return;
        }
        if stored.record.write.fence > role.fence {
            self.release_role(now, Some(&stored.record), actions);
            return;
        }
        let is_own_write = stored.record.write.fence == role.fence;
        let id = stored.record.plan.id;
        let ended_before = self
            .record()
            .is_some_and(|record| record.plan.id == id && record.verdict.is_some());
        self.update_baselines(&stored.record);
        actions.push(Action::Announce(Box::new(stored.shares())));
        if let Some(verdict) = stored
            .record
            .verdict
            .clone()
            .filter(|_| is_own_write && !ended_before)
        {
            actions.push(Action::NotifyEnded {
                rollout: id,
                verdict: Box::new(verdict),
            });
        }
        self.stored = Some(*stored);
    }

    /// Restarts the counting of evidence on each route whose share changes.
    fn update_baselines(&mut self, record: &Record) {
        let Some(known) = self
            .stored
            .as_ref()
            .filter(|known| known.record.plan.id == record.plan.id)
        else {
            self.pool = Pool::default();
            return;
        };
        let routes: Vec<_> = self.pool.routes.keys().cloned().collect();
        for route in routes {
            if known.record.step(&route).share != record.step(&route).share {
                self.pool.set_baseline(&route);
            }
        }
    }

    const fn record(&self) -> Option<&Record> {
        match &self.stored {
            Some(stored) => Some(&stored.record),
            None => None,
        }
    }
}
