//! Random schedules of pauses, outages, lost answers and lapses over a few candidates for one role.

use base::{Incarnation, Millis, Seed};
use member::Role;
use member::role::{Action, Event, Fence, Lease, Observed, Record, Revision, Settings};
use quickcheck::TestResult;

const CANDIDATES: usize = 4;
/// Time between two steps.
const STEP: u64 = 50;
/// Lifetime of a lease at the platform, in true time.
const LEASE: u64 = 10_000;
const RENEWAL: u64 = 3_000;
const LONGEST_ORDER: u64 = 6_000;

/// Kind, candidate and amount of one step of a schedule.
type Step = (u8, u8, u8);

/// What the platform will do with a call, and when.
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

struct Waiting {
    at: u64,
    from: usize,
    call: Call,
    answer_lost: bool,
}

struct Candidate {
    role: Role,
    settings: Settings,
    lease: Lease,
    paused: bool,
    /// Answers that wait while the candidate is paused.
    inbox: Vec<Event>,
    /// The candidate's clock runs this many thousandths faster than true time.
    drift: u64,
}

impl Candidate {
    fn clock(&self, now: u64) -> Millis {
        Millis(now + now * self.drift / 1_000)
    }
}

struct Model {
    now: u64,
    candidates: Vec<Candidate>,
    waiting: Vec<Waiting>,
    record: Option<Observed>,
    leases: Vec<(Lease, u64)>,
    outage: bool,
    lose: bool,
    delay: u64,
    fences: Vec<Fence>,
    /// When each fencing number was last used for an order, by the number less one.
    orders: Vec<(Fence, u64, u64)>,
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
            drift: index as u64 * 3,
        };
        Self {
            now: 0,
            candidates: (0..CANDIDATES).map(candidate).collect(),
            waiting: Vec::new(),
            record: None,
            leases: (0..CANDIDATES)
                .map(|index| (Lease(index as u64), LEASE))
                .collect(),
            outage: false,
            lose: false,
            delay: 20,
            fences: Vec::new(),
            orders: Vec::new(),
            next_lease: 100,
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(STEP) {
            self.now += STEP;
            self.serve();
            for index in 0..CANDIDATES {
                if !self.candidates[index].paused {
                    self.work(index);
                }
            }
        }
    }

    fn work(&mut self, index: usize) {
        // A process that wakes may send an order before it is stepped.
        self.act(index);
        for event in std::mem::take(&mut self.candidates[index].inbox) {
            self.step(index, event);
        }
        if (self.now + 900 * index as u64) % RENEWAL < STEP {
            let sent = self.candidates[index].clock(self.now).0;
            self.call(index, Call::Renew { sent });
        }
        self.step(index, Event::Rank(Some(index)));
        self.step(index, Event::Tick);
        self.act(index);
    }

    fn act(&mut self, index: usize) {
        let candidate = &self.candidates[index];
        if let Some(fence) = candidate.role.active_fence(candidate.clock(self.now)) {
            self.order(fence);
        }
    }

    /// An order leaves with `fence`: no other holder may have one under way or send one later.
    fn order(&mut self, fence: Fence) {
        let last = self.orders.last().copied();
        match last {
            Some((other, _, _)) if other == fence => {}
            Some((other, _, end)) => {
                assert!(other < fence, "{fence:?} acts after {other:?}");
                assert!(
                    end <= self.now,
                    "{fence:?} acts while an order of {other:?} is in flight"
                );
                self.orders.push((fence, self.now, 0));
            }
            None => self.orders.push((fence, self.now, 0)),
        }
        if let Some(last) = self.orders.last_mut() {
            last.2 = self.now + LONGEST_ORDER;
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        let clock = self.candidates[index].clock(self.now);
        let actions = self.candidates[index].role.step(clock, event);
        for action in actions {
            match action {
                Action::Read => self.call(index, Call::Read),
                Action::Swap { expect, record } => self.call(index, Call::Swap { expect, record }),
                Action::Acquired { .. } | Action::Ended(_) => {}
            }
        }
    }

    fn call(&mut self, from: usize, call: Call) {
        let at = self.now + self.delay * (1 + from as u64 % 3);
        let answer_lost = self.lose;
        self.waiting.push(Waiting {
            at,
            from,
            call,
            answer_lost,
        });
    }

    /// The candidate's process gives the role up; later a new process takes its place.
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

    fn serve(&mut self) {
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|it| it.at <= now);
        self.waiting = waiting;
        for call in Vec::from_iter::<Vec<Waiting>>(due) {
            self.answer(call);
        }
    }

    fn answer(&mut self, waiting: Waiting) {
        let Waiting {
            from,
            call,
            answer_lost,
            ..
        } = waiting;
        let event = match call {
            Call::Read if self.outage || answer_lost => Event::ReadFailed,
            Call::Read => Event::Read(self.observe()),
            Call::Swap { record, .. } if self.outage => Event::Unanswered(record.write_id),
            Call::Swap { expect, record } => self.swap(expect, record, answer_lost),
            Call::Renew { sent } => {
                self.renew(from, sent, answer_lost);
                return;
            }
        };
        self.candidates[from].inbox.push(event);
    }

    fn lives(&self, lease: Lease) -> bool {
        self.leases.iter().any(|it| it.0 == lease && it.1 > self.now)
    }

    fn observe(&self) -> Option<Observed> {
        let mut observed = self.record?;
        observed.lease_alive = self.lives(observed.record.lease);
        Some(observed)
    }

    fn swap(&mut self, expect: Option<Revision>, record: Record, answer_lost: bool) -> Event {
        if self.record.map(|it| it.revision) != expect {
            return if answer_lost {
                Event::Unanswered(record.write_id)
            } else {
                Event::Conflict(record.write_id)
            };
        }
        let last = self.fences.last().copied().unwrap_or_default();
        let is_release = record.holder.is_none() && record.fence == last;
        assert!(
            is_release || record.fence > last,
            "fencing number {:?} after {last:?}",
            record.fence
        );
        self.fences.push(record.fence);
        let revision = Revision(expect.map_or(1, |it| it.0 + 1));
        self.record = Some(Observed {
            record,
            revision,
            lease_alive: true,
        });
        if answer_lost {
            Event::Unanswered(record.write_id)
        } else {
            Event::Swapped(record.write_id)
        }
    }

    fn renew(&mut self, from: usize, sent: u64, answer_lost: bool) {
        if self.outage {
            return;
        }
        let mut lease = self.candidates[from].lease;
        if !self.lives(lease) {
            self.next_lease += 1;
            lease = Lease(self.next_lease);
            self.leases.push((lease, 0));
        }
        let ends = self.now + LEASE;
        self.leases
            .iter_mut()
            .filter(|it| it.0 == lease)
            .for_each(|it| it.1 = ends);
        if answer_lost {
            return;
        }
        let until = Millis(sent + LEASE);
        self.candidates[from].lease = lease;
        self.candidates[from].inbox.push(Event::Leased { lease, until });
    }
}

fn apply(model: &mut Model, step: Step) {
    let (kind, which, amount) = step;
    let index = usize::from(which) % CANDIDATES;
    match kind % 8 {
        0 | 1 => model.candidates[index].paused = true,
        2 => model.candidates[index].paused = false,
        3 => model.outage = amount % 2 == 0,
        4 => model.lose = amount % 2 == 0,
        5 => model.delay = u64::from(amount) * 10,
        6 if amount % 2 == 0 => model.step(index, Event::LeaseExpired),
        6 => model.replace(index),
        _ => model.run(u64::from(amount) * 100),
    }
    model.run(u64::from(amount) * 20);
}

fn schedule(steps: Vec<Step>, seed: u64) -> TestResult {
    let settings = Settings::new().without_fencing(Millis(LEASE), Millis(LONGEST_ORDER));
    let mut model = Model::new(seed, settings);
    for step in steps {
        apply(&mut model, step);
    }
    model.outage = false;
    model.lose = false;
    model.delay = 20;
    for candidate in &mut model.candidates {
        candidate.paused = false;
    }
    model.run(60_000);
    let clock = |it: &&Candidate| it.role.active_fence(it.clock(model.now)).is_some();
    let acting = model.candidates.iter().filter(clock).count();
    assert_eq!(acting, 1, "a minute after all is well, one candidate acts");
    TestResult::passed()
}

#[test]
fn one_holder_acts_and_fences_grow() {
    check::property(300, 40, schedule as fn(Vec<Step>, u64) -> TestResult);
}
