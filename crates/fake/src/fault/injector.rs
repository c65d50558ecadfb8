//! Selects the faults that each request is subject to.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::Seed;
use base::seed::Generator;
use http::StatusCode;
use tokio::time::Instant;

use super::regression::Conditions;
use super::{Corruption, Effect, Failure, Faults, Plan, Trigger};
use crate::net::Gate;

/// Active faults of one replica and their state.
#[derive(Debug)]
pub struct Injector {
    gate: Arc<Gate>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: Generator,
    requests: u64,
    in_flight: u64,
    frozen_until: Option<Instant>,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct Guard(Arc<Injector>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

impl Injector {
    /// Creates an injector with the initial faults; `seed` determines the random ones.
    pub fn new(gate: Arc<Gate>, faults: Faults, seed: Seed) -> Self {
        Self {
            gate,
            state: Mutex::new(State {
                faults,
                rng: seed.generator(),
                requests: 0,
                in_flight: 0,
                frozen_until: None,
            }),
        }
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        let now = Instant::now();
        if faults.refuse_ms > 0 {
            self.gate.refuse(now + Duration::from_millis(faults.refuse_ms));
        }
        let mut state = self.lock();
        state.frozen_until = (faults.freeze_ms > 0).then(|| now + Duration::from_millis(faults.freeze_ms));
        state.requests = 0;
        state.faults = faults;
    }

    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track(self: &Arc<Self>) -> Guard {
        self.lock().in_flight += 1;
        Guard(Arc::clone(self))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.lock().in_flight
    }

    /// Selects the faults of a request for `path` served by `version`. The request must already be tracked.
    pub fn plan(&self, version: &str, path: &str) -> Plan {
        let mut state = self.lock();
        let conditions = Conditions {
            version,
            path,
            requests: state.requests,
            in_flight: state.in_flight,
        };
        state.requests += 1;
        let effect = state
            .faults
            .regression
            .as_ref()
            .filter(|regression| regression.applies(conditions));
        let effect = effect.map(|regression| regression.effect);
        state.select_faults(effect)
    }

    /// Waits until the server is not frozen.
    pub async fn wait_until_unfrozen(&self) {
        loop {
            let frozen_until = self.lock().frozen_until;
            match frozen_until {
                Some(until) if Instant::now() < until => tokio::time::sleep_until(until).await,
                _ => return,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn select_faults(&mut self, effect: Option<Effect>) -> Plan {
        let rng = &mut self.rng;
        let faults = &mut self.faults;
        let status = Failure::Status(status_code(faults.status));
        let late = faults.late.fires(rng);
        let mut before_run = [
            (&mut faults.reset_before, Failure::Reset),
            (&mut faults.reject, Failure::Rejected),
            (&mut faults.fail_before, status),
        ];
        let failure_before_run = injected_failure(effect).or(first_firing(&mut before_run, rng));
        let mut after_run = [
            (&mut faults.reset_after, Failure::Reset),
            (&mut faults.fail_after, status),
        ];
        let failure_after_run = first_firing(&mut after_run, rng);
        let mut corruptions = [
            (&mut faults.wrong_dispatch, Corruption::WrongDispatch),
            (&mut faults.crossed, Corruption::Crossed),
            (&mut faults.duplicate, Corruption::Duplicate),
            (&mut faults.truncate, Corruption::Truncate),
            (&mut faults.cut, Corruption::Cut),
        ];
        Plan {
            delay: Duration::from_millis(faults.slow_ms + added_delay_ms(effect)),
            failure_before_run,
            response_delay: Duration::from_millis(if late { faults.late_ms } else { 0 }),
            failure_after_run,
            corruption: first_firing(&mut corruptions, rng),
        }
    }
}

/// Returns the first fault whose trigger fires.
fn first_firing<T>(faults: &mut [(&mut Trigger, T)], rng: &mut Generator) -> Option<T>
where
    T: Copy,
{
    let mut firing = faults
        .iter_mut()
        .filter_map(|(trigger, fault)| trigger.fires(rng).then_some(*fault));
    firing.next()
}

fn added_delay_ms(effect: Option<Effect>) -> u64 {
    match effect {
        Some(Effect::Slow(ms)) => ms,
        Some(Effect::Fail(_)) | None => 0,
    }
}

fn injected_failure(effect: Option<Effect>) -> Option<Failure> {
    match effect {
        Some(Effect::Fail(code)) => Some(Failure::Status(status_code(code))),
        Some(Effect::Slow(_)) | None => None,
    }
}

fn status_code(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
}
