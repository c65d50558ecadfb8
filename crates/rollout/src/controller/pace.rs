//! Schedule of a route's share.

use base::Millis;

use crate::controller::gate::Gate;
use crate::{Plan, Share, Step, WallTime};

/// The time allowed divided by this is kept in reserve before the deadline.
const RESERVE_DIVISOR: u64 = 10;
/// The time allowed divided by this is the length of a step without enough evidence.
const FORCED_STEP_DIVISOR: u64 = 20;
/// The time allowed divided by this is the shortest length of a step with enough evidence.
const DWELL_DIVISOR: u64 = 50;
/// Shortest time between two steps.
const MIN_DWELL: Millis = Millis(1_000);

/// A step that may be taken now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Next {
    /// Share to set.
    pub share: Share,
    /// Whether the step is taken to meet the deadline, without enough evidence.
    pub forced: bool,
}

/// The next step of a route, if its evidence allows one or the time left requires one.
pub fn next(plan: &Plan, step: Step, gate: Gate, now: WallTime) -> Option<Next> {
    let held = now.since(step.since);
    if step.share == Share::FULL || held < MIN_DWELL {
        return None;
    }
    let share = match gate {
        Gate::Doubtful => return None,
        Gate::Unfinished if now < plan.deadline => return None,
        Gate::Open if held >= min_dwell(plan) => step.share.doubled(),
        Gate::Open | Gate::Insufficient | Gate::Unfinished => Share::ZERO,
    };
    let scheduled_share = scheduled_share(plan, now).min(step.share.doubled().doubled());
    let next = Next {
        share: share.max(scheduled_share),
        forced: scheduled_share > share,
    };
    (next.share > step.share).then_some(next)
}

/// The share that a route needs at `now` to reach full share in time by doubling, regardless of its evidence.
fn scheduled_share(plan: &Plan, now: WallTime) -> Share {
    let allowed = plan.time_allowed();
    let time_left = plan
        .deadline
        .since(now)
        .0
        .saturating_sub(allowed.0 / RESERVE_DIVISOR);
    let doublings = time_left.div_ceil((allowed.0 / FORCED_STEP_DIVISOR).max(1));
    let ppm = Share::FULL.ppm().checked_shr(doublings.min(31) as u32);
    Share::new(ppm.unwrap_or(0))
}

fn min_dwell(plan: &Plan) -> Millis {
    Millis(plan.time_allowed().0 / DWELL_DIVISOR).max(MIN_DWELL)
}
