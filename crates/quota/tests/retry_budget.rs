//! Repeated dispatches of all nodes together stay within what is allowed, whatever each of them tries.

use base::Millis;
use quickcheck::TestResult;
use quota::{RetryBudget, RetryPolicy};

const NODES: usize = 4;
const POLICY: RetryPolicy = RetryPolicy {
    window: Millis(1_000),
    ratio: 0.2,
    slack: 20.0,
    nodes: NODES,
};

/// Each step: node, milliseconds that pass, whether it is a first dispatch or a repeat.
fn stays_within_policy(steps: Vec<(u8, u8, bool)>) -> TestResult {
    let mut budgets = vec![RetryBudget::new(); NODES];
    let mut now = Millis::ZERO;
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for (node, elapsed, is_retry) in steps {
        now = now + Millis(u64::from(elapsed % 40));
        let budget = &mut budgets[usize::from(node) % NODES];
        if is_retry {
            if budget.try_retry(now, &POLICY) {
                retries.push(now);
            }
        } else {
            budget.record_request(now, &POLICY);
            requests.push(now);
        }
        let count_in_window = |times: &[Millis]| {
            let inside = times.iter().filter(|at| now.since(**at) < POLICY.window);
            inside.count() as f64
        };
        // Requests of the window before count too: a repeat may be for one of them.
        let recent_requests = requests
            .iter()
            .filter(|at| now.since(**at) < Millis(2_000))
            .count() as f64;
        if count_in_window(&retries) > POLICY.ratio.mul_add(recent_requests, POLICY.slack) {
            return TestResult::failed();
        }
    }
    TestResult::passed()
}

#[test]
fn retries_never_exceed_the_policy() {
    check::property(
        400,
        300,
        stays_within_policy as fn(Vec<(u8, u8, bool)>) -> TestResult,
    );
}
