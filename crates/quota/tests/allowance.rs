//! Repeated dispatches of all nodes together stay within what is allowed, whatever each of them tries.

use base::Millis;
use quickcheck::TestResult;
use quota::{Allowance, Policy};

const NODES: usize = 4;
const POLICY: Policy = Policy {
    window: Millis(1_000),
    ratio: 0.2,
    slack: 20.0,
    nodes: NODES,
};

/// Each step: node, milliseconds that pass, whether it is a first dispatch or a repeat.
fn within(steps: Vec<(u8, u8, bool)>) -> TestResult {
    let mut allowances = vec![Allowance::new(); NODES];
    let mut now = Millis::ZERO;
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for (node, pause, is_repeat) in steps {
        now = now + Millis(u64::from(pause % 40));
        let allowance = &mut allowances[usize::from(node) % NODES];
        if is_repeat {
            if allowance.take(now, &POLICY) {
                repeats.push(now);
            }
        } else {
            allowance.request(now, &POLICY);
            requests.push(now);
        }
        let recent = |moments: &[Millis]| {
            let inside = moments.iter().filter(|at| now.since(**at) < POLICY.window);
            inside.count() as f64
        };
        // Requests of the window before count too: a repeat may be for one of them.
        let earlier = requests
            .iter()
            .filter(|at| now.since(**at) < Millis(2_000))
            .count() as f64;
        if recent(&repeats) > POLICY.ratio.mul_add(earlier, POLICY.slack) {
            return TestResult::failed();
        }
    }
    TestResult::passed()
}

#[test]
fn never_above() {
    check::property(400, 300, within as fn(Vec<(u8, u8, bool)>) -> TestResult);
}
