//! When and how far a share may move.

use base::Millis;

use crate::controller::gate::Gate;
use crate::{Plan, Share, Step, WallTime};

/// The share is moved by this time before the deadline, as a part of the time allowed.
const SPARE: u64 = 10;
/// A step without enough evidence takes this part of the time allowed.
const THIN: u64 = 20;
/// A step with enough evidence takes at least this part of the time allowed.
const DWELL: u64 = 50;
/// Shortest time between two steps.
const SHORTEST: Millis = Millis(1_000);

/// A step that may be taken now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Next {
    /// The share to go to.
    pub share: Share,
    /// Whether it is taken for want of time, without enough evidence.
    pub forced: bool,
}

/// The next step of a route, if its evidence or the time left ask for one.
pub fn next(plan: &Plan, step: Step, gate: Gate, now: WallTime) -> Option<Next> {
    let held = now.since(step.since);
    if step.share == Share::FULL || held < SHORTEST {
        return None;
    }
    let share = match gate {
        Gate::Doubtful => return None,
        Gate::Waiting if now < plan.deadline => return None,
        Gate::Open if held >= dwell(plan) => step.share.doubled(),
        Gate::Open | Gate::Thin | Gate::Waiting => Share::ZERO,
    };
    let by_time = by_time(plan, now).min(step.share.doubled().doubled());
    let next = Next {
        share: share.max(by_time),
        forced: by_time > share,
    };
    (next.share > step.share).then_some(next)
}

/// The share that a route must have by `now` to be moved in time by doubling, whatever is known of it.
fn by_time(plan: &Plan, now: WallTime) -> Share {
    let allowed = plan.time_allowed();
    let left = plan.deadline.since(now).0.saturating_sub(allowed.0 / SPARE);
    let steps = left.div_ceil((allowed.0 / THIN).max(1));
    let ppm = Share::FULL.ppm().checked_shr(steps.min(31) as u32);
    Share::new(ppm.unwrap_or(0))
}

fn dwell(plan: &Plan) -> Millis {
    Millis(plan.time_allowed().0 / DWELL).max(SHORTEST)
}
