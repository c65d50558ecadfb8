//! Requests that test replicas which are refused for what was learned of them.

use base::Millis;
use base::seed::Generator;
use rand::RngExt;

/// Time after which another request may test, whatever has become of the last one, unless a round takes longer.
const MAX_INTERVAL: Millis = Millis(1_000);
/// Minimum time after a test that was not answered in time.
const MIN_PAUSE: Millis = Millis(100);
/// Time in which all nodes together send as many tests as the replicas have slots.
const ROUND: Millis = Millis(1_000);

/// The flow of requests that are sent although their answers are expected too late.
///
/// Load pattern: all replicas of an endpoint answer slowly for some time. What was learned of them refuses all requests, and as
/// nothing is sent, nothing else is learned. So some requests test them. While these are answered in time, more are sent;
/// otherwise they pause, for a time that grows with the number of nodes to each slot, so that all nodes together send few.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trials {
    in_flight: usize,
    /// Number of tests that may be in flight.
    window: usize,
    sent_at: Option<Millis>,
    not_before: Millis,
    /// Time in which each node sends one test while none is answered.
    round: Millis,
}

impl Default for Trials {
    fn default() -> Self {
        Self {
            in_flight: 0,
            window: 1,
            sent_at: None,
            not_before: Millis::ZERO,
            round: Millis::ZERO,
        }
    }
}

impl Trials {
    /// Whether a request may test a replica now.
    pub fn admits(&self, now: Millis) -> bool {
        let interval = self.round.max(MAX_INTERVAL);
        let is_overdue = self.sent_at.is_none_or(|at| now.since(at) >= interval);
        now >= self.not_before && (self.in_flight < self.window || is_overdue)
    }

    /// Records that a test is sent.
    pub const fn record_sent(&mut self, now: Millis) {
        self.in_flight += 1;
        self.sent_at = Some(now);
    }

    /// Records the end of a test. `nodes` send to replicas with `slots` in all.
    pub fn record_end(
        &mut self,
        now: Millis,
        is_answered: bool,
        nodes: usize,
        slots: usize,
        generator: &mut Generator,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if is_answered {
            let share = (slots / nodes.max(1)).max(1);
            self.window = (self.window * 2).min(share);
            return;
        }
        self.window = 1;
        self.round = Millis(ROUND.0 * nodes as u64 / slots.max(1) as u64);
        let pause = MIN_PAUSE.0 + self.round.0 / 2 + generator.random_range(0..=self.round.0);
        self.not_before = now + Millis(pause);
    }
}
