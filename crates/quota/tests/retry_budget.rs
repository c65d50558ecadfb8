//! The retries of all nodes together stay within the policy, whatever each node attempts.

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

/// Each step is a node, the milliseconds since the previous step, and whether the node retries or sends a new request.
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
        // Requests of the previous window count too, since a retry may belong to one of them.
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
