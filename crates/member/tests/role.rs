//! Checks mutual exclusion of a role with several candidates under random schedules of pauses, platform outages, lost
//! answers and lease expiries.

use base::{Incarnation, Millis, Seed};
use member::Role;
use member::role::{Action, Event, Fence, Lease, Observed, Record, Revision, Settings};
use quickcheck::TestResult;

const CANDIDATES: usize = 4;
/// Simulated time per step.
const STEP_INTERVAL: u64 = 50;
/// Lifetime of a lease on the platform, in simulated time.
const LEASE_TTL: u64 = 10_000;
const RENEWAL_INTERVAL: u64 = 3_000;
const MAX_ORDER_DURATION: u64 = 6_000;

/// Kind, target candidate and amount of one step of a schedule.
type Step = (u8, u8, u8);

/// A call to the platform.
enum Call {
    Read,
    Swap {
        expect: Option<Revision>,
        record: Record,
    },
    Renew {
        sent: u64,
    },
}

struct PendingCall {
    at: u64,
    from: usize,
    call: Call,
    is_answer_lost: bool,
}

struct Candidate {
    role: Role,
    settings: Settings,
    lease: Lease,
    paused: bool,
    /// Answers not yet processed by the candidate.
    inbox: Vec<Event>,
    /// How much faster the candidate's clock runs than simulated time, in thousandths.
    clock_drift: u64,
}

impl Candidate {
    fn clock(&self, now: u64) -> Millis {
        Millis(now + now * self.clock_drift / 1_000)
    }
}

struct Model {
    now: u64,
    candidates: Vec<Candidate>,
    pending_calls: Vec<PendingCall>,
    record: Option<Observed>,
    leases: Vec<(Lease, u64)>,
    platform_outage: bool,
    lose_answers: bool,
    call_delay: u64,
    written_fences: Vec<Fence>,
    /// For each fencing token that was used: the time of its first order and the latest arrival of its last one.
    order_windows: Vec<(Fence, u64, u64)>,
    next_lease: u64,
}

impl Model {
    fn new(seed: u64, settings: Settings) -> Self {
        let candidate = |index: usize| Candidate {
            role: Role::new(
                Incarnation(index as u64),
                Seed(seed).derive(index as u64),
                settings,
            ),
            lease: Lease(index as u64),
            settings,
            paused: false,
            inbox: Vec::new(),
            clock_drift: index as u64 * 3,
        };
        Self {
            now: 0,
            candidates: (0..CANDIDATES).map(candidate).collect(),
            pending_calls: Vec::new(),
            record: None,
            leases: (0..CANDIDATES)
                .map(|index| (Lease(index as u64), LEASE_TTL))
                .collect(),
            platform_outage: false,
            lose_answers: false,
            call_delay: 20,
            written_fences: Vec::new(),
            order_windows: Vec::new(),
            next_lease: 100,
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(STEP_INTERVAL) {
            self.now += STEP_INTERVAL;
            self.process_due_calls();
            for index in 0..CANDIDATES {
                if !self.candidates[index].paused {
                    self.run_candidate(index);
                }
            }
        }
    }

    fn run_candidate(&mut self, index: usize) {
        // A process that resumes may send an order before its state machine is stepped.
        self.try_send_order(index);
        for event in std::mem::take(&mut self.candidates[index].inbox) {
            self.step(index, event);
        }
        if (self.now + 900 * index as u64) % RENEWAL_INTERVAL < STEP_INTERVAL {
            let sent = self.candidates[index].clock(self.now).0;
            self.send_call(index, Call::Renew { sent });
        }
        self.step(index, Event::Rank(Some(index)));
        self.step(index, Event::Tick);
        self.try_send_order(index);
    }

    fn try_send_order(&mut self, index: usize) {
        let candidate = &self.candidates[index];
        if let Some(fence) = candidate.role.active_fence(candidate.clock(self.now)) {
            self.record_order(fence);
        }
    }

    /// Records an order sent with `fence`, and checks that no later holder has sent one and that no order of an earlier
    /// holder is in flight.
    fn record_order(&mut self, fence: Fence) {
        let last = self.order_windows.last().copied();
        match last {
            Some((other, _, _)) if other == fence => {}
            Some((other, _, end)) => {
                assert!(
                    other < fence,
                    "order sent with {fence:?} after an order with {other:?}"
                );
                assert!(
                    end <= self.now,
                    "order sent with {fence:?} while an order with {other:?} is in flight"
                );
                self.order_windows.push((fence, self.now, 0));
            }
            None => self.order_windows.push((fence, self.now, 0)),
        }
        if let Some(last) = self.order_windows.last_mut() {
            last.2 = self.now + MAX_ORDER_DURATION;
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        let clock = self.candidates[index].clock(self.now);
        let actions = self.candidates[index].role.step(clock, event);
        for action in actions {
            match action {
                Action::Read => self.send_call(index, Call::Read),
                Action::Swap { expect, record } => self.send_call(index, Call::Swap { expect, record }),
                Action::Acquired { .. } | Action::Ended(_) => {}
            }
        }
    }

    fn send_call(&mut self, from: usize, call: Call) {
        let at = self.now + self.call_delay * (1 + from as u64 % 3);
        let is_answer_lost = self.lose_answers;
        self.pending_calls.push(PendingCall {
            at,
            from,
            call,
            is_answer_lost,
        });
    }

    /// The candidate's process releases the role and is later replaced by a new process.
    fn replace(&mut self, index: usize) {
        if self.candidates[index].paused {
            return;
        }
        self.step(index, Event::Release);
        self.run(5_000);
        self.next_lease += 1;
        let incarnation = Incarnation(self.next_lease);
        let candidate = &mut self.candidates[index];
        candidate.role = Role::new(incarnation, Seed(self.next_lease), candidate.settings);
        candidate.lease = Lease(self.next_lease);
    }

    fn process_due_calls(&mut self) {
        let now = self.now;
        let (due, not_due) = std::mem::take(&mut self.pending_calls)
            .into_iter()
            .partition(|it| it.at <= now);
        self.pending_calls = not_due;
        for call in Vec::from_iter::<Vec<PendingCall>>(due) {
            self.answer(call);
        }
    }

    fn answer(&mut self, pending: PendingCall) {
        let PendingCall {
            from,
            call,
            is_answer_lost,
            ..
        } = pending;
        let event = match call {
            Call::Read if self.platform_outage || is_answer_lost => Event::ReadFailed,
            Call::Read => Event::Read(self.observe()),
            Call::Swap { record, .. } if self.platform_outage => Event::Unanswered(record.write_id),
            Call::Swap { expect, record } => self.swap(expect, record, is_answer_lost),
            Call::Renew { sent } => {
                self.renew(from, sent, is_answer_lost);
                return;
            }
        };
        self.candidates[from].inbox.push(event);
    }

    fn is_lease_alive(&self, lease: Lease) -> bool {
        self.leases.iter().any(|it| it.0 == lease && it.1 > self.now)
    }

    fn observe(&self) -> Option<Observed> {
        let mut observed = self.record?;
        observed.lease_alive = self.is_lease_alive(observed.record.lease);
        Some(observed)
    }

    fn swap(&mut self, expect: Option<Revision>, record: Record, is_answer_lost: bool) -> Event {
        if self.record.map(|it| it.revision) != expect {
            return if is_answer_lost {
                Event::Unanswered(record.write_id)
            } else {
                Event::Conflict(record.write_id)
            };
        }
        let last = self.written_fences.last().copied().unwrap_or_default();
        let is_release = record.holder.is_none() && record.fence == last;
        assert!(
            is_release || record.fence > last,
            "fencing token {:?} written after {last:?}",
            record.fence
        );
        self.written_fences.push(record.fence);
        let revision = Revision(expect.map_or(1, |it| it.0 + 1));
        self.record = Some(Observed {
            record,
            revision,
            lease_alive: true,
        });
        if is_answer_lost {
            Event::Unanswered(record.write_id)
        } else {
            Event::Swapped(record.write_id)
        }
    }

    fn renew(&mut self, from: usize, sent: u64, is_answer_lost: bool) {
        if self.platform_outage {
            return;
        }
        let mut lease = self.candidates[from].lease;
        if !self.is_lease_alive(lease) {
            self.next_lease += 1;
            lease = Lease(self.next_lease);
            self.leases.push((lease, 0));
        }
        let ends = self.now + LEASE_TTL;
        self.leases
            .iter_mut()
            .filter(|it| it.0 == lease)
            .for_each(|it| it.1 = ends);
        if is_answer_lost {
            return;
        }
        let until = Millis(sent + LEASE_TTL);
        self.candidates[from].lease = lease;
        self.candidates[from].inbox.push(Event::Leased { lease, until });
    }
}

fn apply_step(model: &mut Model, step: Step) {
    let (kind, target, amount) = step;
    let index = usize::from(target) % CANDIDATES;
    match kind % 8 {
        0 | 1 => model.candidates[index].paused = true,
        2 => model.candidates[index].paused = false,
        3 => model.platform_outage = amount % 2 == 0,
        4 => model.lose_answers = amount % 2 == 0,
        5 => model.call_delay = u64::from(amount) * 10,
        6 if amount % 2 == 0 => model.step(index, Event::LeaseExpired),
        6 => model.replace(index),
        _ => model.run(u64::from(amount) * 100),
    }
    model.run(u64::from(amount) * 20);
}

fn run_schedule(steps: Vec<Step>, seed: u64) -> TestResult {
    let settings = Settings::new().without_fencing(Millis(LEASE_TTL), Millis(MAX_ORDER_DURATION));
    let mut model = Model::new(seed, settings);
    for step in steps {
        apply_step(&mut model, step);
    }
    model.platform_outage = false;
    model.lose_answers = false;
    model.call_delay = 20;
    for candidate in &mut model.candidates {
        candidate.paused = false;
    }
    model.run(60_000);
    let is_acting = |it: &&Candidate| it.role.active_fence(it.clock(model.now)).is_some();
    let acting = model.candidates.iter().filter(is_acting).count();
    assert_eq!(
        acting, 1,
        "exactly one candidate must hold the role a minute after all faults ended"
    );
    TestResult::passed()
}

#[test]
fn one_holder_acts_and_fencing_tokens_increase() {
    check::property(300, 40, run_schedule as fn(Vec<Step>, u64) -> TestResult);
}
