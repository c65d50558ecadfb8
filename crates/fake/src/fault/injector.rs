//! Draws the faults that requests meet.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::Seed;
use base::seed::Generator;
use http::StatusCode;
use tokio::time::Instant;

use super::bad::Meeting;
use super::{Badness, Failure, Faults, Plan, Trigger, Twist};
use crate::net::Gate;

/// The faults of one replica and their state.
#[derive(Debug)]
pub struct Injector {
    gate: Arc<Gate>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    random: Generator,
    requests: u64,
    in_flight: u64,
    frozen_until: Option<Instant>,
}

/// A request in flight, until dropped.
#[derive(Debug)]
pub struct Flight(Arc<Injector>);

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

impl Injector {
    /// Faults from the start; `seed` draws those that strike by chance.
    pub fn new(gate: Arc<Gate>, faults: Faults, seed: Seed) -> Self {
        Self {
            gate,
            state: Mutex::new(State {
                faults,
                random: seed.generator(),
                requests: 0,
                in_flight: 0,
                frozen_until: None,
            }),
        }
    }

    /// Takes new faults into force.
    pub fn switch(&self, faults: Faults) {
        let now = Instant::now();
        if faults.refuse_ms > 0 {
            self.gate.refuse(now + Duration::from_millis(faults.refuse_ms));
        }
        let mut state = self.lock();
        state.frozen_until = (faults.freeze_ms > 0).then(|| now + Duration::from_millis(faults.freeze_ms));
        state.requests = 0;
        state.faults = faults;
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Counts a request as in flight.
    pub fn enter(self: &Arc<Self>) -> Flight {
        self.lock().in_flight += 1;
        Flight(Arc::clone(self))
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.lock().in_flight
    }

    /// Draws the faults of a request on `path`, served by `version`, once it is in flight.
    pub fn plan(&self, version: &str, path: &str) -> Plan {
        let mut state = self.lock();
        let meeting = Meeting {
            version,
            path,
            requests: state.requests,
            in_flight: state.in_flight,
        };
        state.requests += 1;
        let badness = state.faults.bad.as_ref().filter(|bad| bad.meets(meeting));
        let badness = badness.map(|bad| bad.badness);
        state.draw(badness)
    }

    /// Waits for the end of a freeze.
    pub async fn thaw(&self) {
        loop {
            let until = self.lock().frozen_until;
            match until {
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
    fn draw(&mut self, badness: Option<Badness>) -> Plan {
        let random = &mut self.random;
        let faults = &mut self.faults;
        let status = Failure::Status(status(faults.status));
        let late = faults.late.strikes(random);
        let mut before = [
            (&mut faults.reset_before, Failure::Reset),
            (&mut faults.reject, Failure::Rejected),
            (&mut faults.fail_before, status),
        ];
        let before = failure(badness).or(struck(&mut before, random));
        let mut after = [
            (&mut faults.reset_after, Failure::Reset),
            (&mut faults.fail_after, status),
        ];
        let after = struck(&mut after, random);
        let mut twists = [
            (&mut faults.wrong_dispatch, Twist::WrongDispatch),
            (&mut faults.crossed, Twist::Crossed),
            (&mut faults.duplicate, Twist::Duplicate),
            (&mut faults.truncate, Twist::Truncate),
            (&mut faults.cut, Twist::Cut),
        ];
        Plan {
            delay: Duration::from_millis(faults.slow_ms + slowness(badness)),
            before,
            late: Duration::from_millis(if late { faults.late_ms } else { 0 }),
            after,
            twist: struck(&mut twists, random),
        }
    }
}

/// The first fault that strikes.
fn struck<T>(faults: &mut [(&mut Trigger, T)], random: &mut Generator) -> Option<T>
where
    T: Copy,
{
    let mut struck = faults
        .iter_mut()
        .filter_map(|(trigger, fault)| trigger.strikes(random).then_some(*fault));
    struck.next()
}

fn slowness(badness: Option<Badness>) -> u64 {
    match badness {
        Some(Badness::Slow(ms)) => ms,
        Some(Badness::Fail(_)) | None => 0,
    }
}

fn failure(badness: Option<Badness>) -> Option<Failure> {
    match badness {
        Some(Badness::Fail(code)) => Some(Failure::Status(status(code))),
        Some(Badness::Slow(_)) | None => None,
    }
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
}
