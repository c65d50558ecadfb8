//! Classes that compete for the replicas of an endpoint.

use base::Millis;

use crate::{Class, Fairness, Urgency};

/// Time without a request after which a class no longer counts. A node sees about one request in fifty.
const CLASS_TIMEOUT: Millis = Millis(10_000);
/// Part of a replica's slots that each more urgent class has for itself, and the least that a class may use.
const SLOTS_PER_RANK: f64 = 0.125;
const MIN_SLOTS: f64 = 0.5;
/// Part of the slots that requests may use which are late or beyond their workspace's fair share.
const SPARE_SLOTS: f64 = 0.5;
/// Tokens by which the part of the queue that is ahead of a class is drawn towards the whole queue.
const PRIOR_TOKENS: f64 = 4_000.0;
/// Part of the shortest target of the more urgent classes up to which a less urgent class may find a queue.
const QUEUE_PART: f64 = 0.5;
/// Part of the less urgent requests that are treated as the most urgent class, so that no class is served less than a quarter
/// as often as all requests: a caller tries twice, so 15 in 100 become 28 in 100.
const COMMON_PART: f64 = 0.15;

/// The part of a replica's capacity that a request may find in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Part of the slots.
    pub slots: f64,
    /// Expected wait in the replica's queue.
    pub queue: Millis,
    /// Part of the slots, if the request is expected to be late there.
    pub late_slots: f64,
}

impl Allowance {
    /// All capacity.
    pub const ALL: Self = Self {
        slots: 1.0,
        queue: Millis::NEVER,
        late_slots: 1.0,
    };

    /// Whether a replica has room for the request.
    pub fn has_room(&self, slots_used: f64, queue: Millis, is_late: bool) -> bool {
        if is_late {
            slots_used < self.late_slots
        } else {
            slots_used < self.slots && queue <= self.queue
        }
    }
}

/// The classes and workspaces whose requests compete for the replicas of an endpoint.
///
/// Load pattern: a burst of one class while half of the replicas are lost. In the order of arrival, urgent requests find
/// slots and queues filled by less urgent ones, and are served late or not at all.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    /// Time of the last request and its target, by [`Class::index`].
    seen: [Option<(Millis, Millis)>; Class::COUNT],
    /// Prompt tokens of this node that the replicas have not read, by [`Class::index`].
    unread: [u64; Class::COUNT],
    fairness: Fairness,
}

impl Contention {
    /// Records a new request and its work.
    pub fn record_offered(&mut self, now: Millis, urgency: &Urgency, work: f64) {
        self.seen[urgency.class.index()] = Some((now, urgency.target));
        self.fairness.record_offered(now, urgency.workspace, work);
    }

    /// Records that a request is sent to a replica.
    pub fn record_admitted(&mut self, now: Millis, work: f64) {
        self.fairness.record_admitted(now, work);
    }

    /// Records prompt tokens that are sent to a replica, and the class that the engine takes them for.
    pub const fn add_unread(&mut self, class: Class, tokens: u64) {
        self.unread[class.index()] += tokens;
    }

    /// Records that a replica has read them, or does not any more.
    pub const fn remove_unread(&mut self, class: Class, tokens: u64) {
        let unread = &mut self.unread[class.index()];
        *unread = unread.saturating_sub(tokens);
    }

    /// Part of the replicas' queues that an engine processes before a request of a class. The other nodes' prompts are taken to be
    /// like those of this node.
    pub fn part_ahead(&self, class: Class) -> f64 {
        let ahead: u64 = self.unread[..=class.index()].iter().sum();
        let all: u64 = self.unread.iter().sum();
        (ahead as f64 + PRIOR_TOKENS) / (all as f64 + PRIOR_TOKENS)
    }

    /// What a request may find in use. `draws` are uniform between 0 and 1.
    pub fn allowance(&mut self, now: Millis, urgency: &Urgency, draws: [f64; 2]) -> Allowance {
        let own = urgency.class.index();
        let more_urgent = self.seen[..own].iter().flatten();
        let more_urgent = more_urgent.filter(|(at, _)| now.since(*at) < CLASS_TIMEOUT);
        let (rank, target) = more_urgent.fold((0_u32, Millis::NEVER), |(rank, shortest), (_, target)| {
            (rank + 1, shortest.min(*target))
        });
        let [common_draw, fair_draw] = draws;
        let is_common = rank == 0 || common_draw < COMMON_PART;
        let mut allowance = Allowance {
            late_slots: SPARE_SLOTS,
            ..Allowance::ALL
        };
        if !is_common {
            allowance.slots = SLOTS_PER_RANK.mul_add(-f64::from(rank), 1.0).max(MIN_SLOTS);
            allowance.late_slots = SPARE_SLOTS * allowance.slots;
            allowance.queue = Millis((target.0 as f64 * QUEUE_PART / f64::from(rank)) as u64);
        }
        if fair_draw >= self.fairness.share(now, urgency.workspace) {
            allowance.slots = allowance.slots.min(SPARE_SLOTS);
            allowance.late_slots = allowance.late_slots.min(SPARE_SLOTS * SPARE_SLOTS);
        }
        allowance
    }
}
