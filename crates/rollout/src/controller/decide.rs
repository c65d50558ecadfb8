//! Decisions: which record to write next.

use base::{Millis, Name};

use crate::action::Refusal;
use crate::controller::Controller;
use crate::controller::gate::Gate;
use crate::controller::pace;
use crate::controller::pending::Pending;
use crate::controller::pool::Pool;
use crate::controller::request::{Answer, Request};
use crate::{Action, Evidence, Reason, Record, Stage, Step, Verdict, Veto, WallTime, WriteId};

/// If no node has reported for this long, no share is raised.
const MAX_REPORT_AGE: Millis = Millis::from_secs(10);

/// A doubt that lasts for this many watch times undoes the rollout.
const MAX_DOUBTFUL_WATCHES: u64 = 6;

impl Controller {
    /// Answers requests and writes the next record, unless a write is in flight.
    pub(super) fn advance(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(role) = self.role else {
            return;
        };
        if self.pending.begin_load(now) {
            actions.push(Action::Load);
        }
        if self.pending != Pending::Idle {
            return;
        }
        let wall_time = role.wall_time(now);
        self.report_late_veto(actions);
        self.answer_requests(wall_time, actions);
        if let Some(record) = self.next_record(now, wall_time) {
            self.start_write(now, record, actions);
        }
    }

    /// Sends a veto for an undo that can't be stored at the moment.
    pub(super) fn veto_pending_undo(&mut self, actions: &mut Vec<Action>) {
        let Some(record) = self.record().filter(|record| record.stage.is_running()) else {
            return;
        };
        let rollout = record.plan.id;
        if self.done_may_be_stored || self.vetoes.contains_key(&rollout) {
            return;
        }
        let requested = self.requests.iter().find_map(|request| match request {
            Request::Undo {
                rollout: requested,
                operator,
            } if *requested == rollout => Some(operator.clone()),
            _ => None,
        });
        let Some(operator) = requested else {
            return;
        };
        let veto = Veto {
            rollout,
            endpoint: record.plan.endpoint.clone(),
            version: record.plan.to.clone(),
            route: None,
            evidence: Evidence::Operator(operator),
        };
        actions.push(Action::Veto(Box::new(veto)));
    }

    fn start_write(&mut self, now: Millis, mut record: Record, actions: &mut Vec<Action>) {
        let Some(role) = &mut self.role else {
            return;
        };
        record.write = role.next_write_id();
        self.done_may_be_stored = record.stage == Stage::Done;
        let record = Box::new(record);
        let expected = self.stored.as_ref().map_or(0, |stored| stored.generation);
        self.pending = Pending::Storing {
            record: record.clone(),
            since: now,
        };
        actions.push(Action::Store { record, expected });
    }

    /// Answers the requests that the stored record decides.
    fn answer_requests(&mut self, now: WallTime, actions: &mut Vec<Action>) {
        while let Some(request) = self.requests.front() {
            let rollout = request.rollout();
            let answer = request.answer(self.record(), now);
            if answer == Answer::NeedsWrite {
                return;
            }
            actions.push(answer.action(rollout, Refusal::NotController));
            self.requests.pop_front();
        }
    }

    /// Notifies operators of a veto that came after the rollout was done, which no longer changes the record.
    fn report_late_veto(&mut self, actions: &mut Vec<Action>) {
        let Some(record) = self.record().filter(|record| record.stage == Stage::Done) else {
            return;
        };
        let id = record.plan.id;
        let Some(veto) = self
            .vetoes
            .get(&id)
            .filter(|_| self.late_veto_reported != Some(id))
        else {
            return;
        };
        actions.push(Action::NotifyLateVeto(Box::new(veto.clone())));
        self.late_veto_reported = Some(id);
    }

    /// The record that should replace the stored one, if any.
    fn next_record(&self, now: Millis, wall_time: WallTime) -> Option<Record> {
        let running = self.record().filter(|record| record.stage.is_running());
        let Some(record) = running else {
            return self.declared_record(wall_time);
        };
        let mut next = record.clone();
        if let Some(verdict) = self.undo_verdict(record) {
            next.end(verdict, wall_time);
            return Some(next);
        }
        if self.role.is_some_and(|role| role.fence > record.write.fence) {
            return Some(next);
        }
        if !self.pool.is_fresh(now, MAX_REPORT_AGE) {
            return None;
        }
        match record.stage {
            Stage::Moving => step_routes(&mut next, &self.pool, wall_time),
            Stage::Watching => end_watch(&mut next, &self.pool, wall_time),
            Stage::Done | Stage::Undone => false,
        }
        .then_some(next)
    }

    fn declared_record(&self, now: WallTime) -> Option<Record> {
        let Some(Request::Declare(plan)) = self.requests.front() else {
            return None;
        };
        let unset = WriteId { fence: 0, number: 0 };
        Some(Record::new(plan.as_ref().clone(), unset, now))
    }

    fn undo_verdict(&self, record: &Record) -> Option<Verdict> {
        if let Some(veto) = self.vetoes.get(&record.plan.id) {
            return Some(Verdict::Undone(undo_reason(veto)));
        }
        match self.requests.front() {
            Some(Request::Undo { operator, .. }) => Some(Verdict::Undone(Reason::Operator(operator.clone()))),
            _ => None,
        }
    }
}

fn undo_reason(veto: &Veto) -> Reason {
    match &veto.evidence {
        Evidence::Compared { .. } => Reason::Vetoed(Box::new(veto.clone())),
        Evidence::Operator(operator) => Reason::Operator(operator.clone()),
    }
}

/// Takes the steps that are due and returns whether the record changed.
fn step_routes(record: &mut Record, pool: &Pool, now: WallTime) -> bool {
    let mut changed = false;
    for (route, pooled) in &pool.routes {
        let gate = Gate::evaluate(pooled);
        let step = record.step(route);
        if gate == Gate::Doubtful && now > record.plan.deadline.after(record.plan.watch) {
            record.end(Verdict::Undone(Reason::Doubtful(route.clone())), now);
            return true;
        }
        if let Some(next) = pace::next(&record.plan, step, gate, now) {
            take_step(record, route, next, now);
            changed = true;
        }
    }
    if let Some(next) = pace::next(&record.plan, record.default_step, Gate::Insufficient, now) {
        pin_known_routes(record, pool);
        record.default_step = Step {
            share: next.share,
            since: now,
        };
        changed = true;
    }
    if record.is_full() {
        record.enter_stage(Stage::Watching, now);
        changed = true;
    }
    changed
}

/// Gives every route with evidence a step of its own, so that the default step no longer applies to it.
fn pin_known_routes(record: &mut Record, pool: &Pool) {
    let default_step = record.default_step;
    for route in pool.routes.keys() {
        record.routes.entry(route.clone()).or_insert(default_step);
    }
}

fn take_step(record: &mut Record, route: &Name, next: pace::Next, now: WallTime) {
    if next.forced && !record.forced.contains(route) {
        record.forced.push(route.clone());
    }
    record.routes.insert(
        route.clone(),
        Step {
            share: next.share,
            since: now,
        },
    );
}

/// Ends the rollout when its watch is over and returns whether the record changed.
fn end_watch(record: &mut Record, pool: &Pool, now: WallTime) -> bool {
    let watches = now.since(record.stage_since).0 / record.plan.watch.0.max(1);
    if watches < 1 {
        return false;
    }
    let doubtful = pool
        .routes
        .iter()
        .find(|(_, pooled)| Gate::evaluate(pooled) == Gate::Doubtful);
    if let Some((route, _)) = doubtful {
        let overdue = watches >= MAX_DOUBTFUL_WATCHES;
        if overdue {
            record.end(Verdict::Undone(Reason::Doubtful(route.clone())), now);
        }
        return overdue;
    }
    // On a route with few requests suspicions may come and go indefinitely, so waiting for them is limited.
    if pool.is_probing() && (watches < 2 || watches < MAX_DOUBTFUL_WATCHES && pool.evidence() > 0.0) {
        return false;
    }
    let thin = record.forced.clone();
    record.end(Verdict::Done(Reason::Moved { thin }), now);
    true
}
