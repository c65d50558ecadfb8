//! Since when a replica can be preferred by prompts.

use base::Millis;

/// Time without being a candidate after which a replica counts as gone. Shorter times are those of requests that may not go to it.
const GONE_AFTER: Millis = Millis(1_000);
/// Time for which the prompts of a replica that is gone count as those of no other one.
const MISSED_FOR: Millis = Millis(30_000);

/// What a replica was at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It was a candidate.
    Present,
    /// It had been one not long before.
    Gone,
    /// Neither.
    Absent,
}

/// When a replica was among the candidates.
///
/// Load pattern: the replicas of a zone are lost, and prompts come to prefer others, which have cached nothing of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Presence {
    first: Millis,
    since: Millis,
    last: Option<Millis>,
}

impl Presence {
    /// Records that the replica is a candidate; `before` is when the candidates were last looked at.
    pub fn record(&mut self, now: Millis, before: Millis) {
        let is_continuous = self.last.is_some_and(|last| before.since(last) < GONE_AFTER);
        if self.last.is_none() {
            self.first = now;
        }
        if !is_continuous {
            self.since = now;
        }
        self.last = Some(now);
    }

    /// When it was first a candidate.
    pub const fn first(&self) -> Millis {
        self.first
    }

    /// What it was this long ago; `looked_at` is when the candidates were last looked at.
    pub fn standing(&self, now: Millis, looked_at: Millis, ago: Millis) -> Standing {
        let Some(last) = self.last else {
            return Standing::Absent;
        };
        let then = now - ago;
        let is_present = looked_at.since(last) < GONE_AFTER;
        if !is_present && last < then {
            return if then.since(last) < MISSED_FOR {
                Standing::Gone
            } else {
                Standing::Absent
            };
        }
        let was_present = ago == Millis::ZERO || self.since <= then;
        match (was_present, is_present || ago > Millis::ZERO) {
            (true, true) => Standing::Present,
            (true, false) => Standing::Gone,
            (false, _) => Standing::Absent,
        }
    }
}
