//! Simulated error rate and power of the sequential test.

use base::Seed;
use rand::RngExt;
use rollout::ratio::TOLERATED;
use rollout::{Arm, Ratio, SequentialTest, Share};

struct Case {
    relative_risk: f64,
    /// Number of requests during which the new version is as good as the old one.
    good_for: u64,
    rate: f64,
    min_rejections: u64,
    max_rejections: u64,
}

/// Whether the test rejects the new version when checked after every request with the signal, while the
/// shares and the rate of the signal change.
fn rejects(case: &Case, threshold: f64, seed: u64) -> bool {
    let mut rng = Seed(seed).generator();
    let (mut ratio, mut test) = (Ratio::default(), SequentialTest::default());
    for request in 0..case.good_for + 2_000 {
        let share = Share::from_percent([5, 20, 50, 80][(request / 100 % 4) as usize]);
        let arm = if share.contains(rng.random()) {
            Arm::New
        } else {
            Arm::Old
        };
        let disturbance = if request / 250 % 2 == 0 { 1.0 } else { 4.0 };
        let bad = arm == Arm::New && request >= case.good_for;
        let rate = case.rate * disturbance * if bad { case.relative_risk } else { 1.0 };
        if rng.random::<f64>() >= rate {
            continue;
        }
        ratio.observe(arm, share);
        if test.evidence(&ratio) >= threshold {
            return true;
        }
        test.restart(&ratio);
    }
    false
}

/// The error rate holds although the test is checked continuously, and a bad version is found.
#[test]
fn sequential_test_keeps_its_error_rate() {
    const RUNS: u64 = 1_000;
    let threshold = f64::ln(1.0 / 0.05);
    let good = Case {
        relative_risk: 1.0,
        good_for: 0,
        rate: 0.05,
        min_rejections: 0,
        max_rejections: 50,
    };
    let bad = Case {
        relative_risk: 8.0,
        good_for: 0,
        rate: 0.02,
        min_rejections: 950,
        max_rejections: RUNS,
    };
    let cases = [
        Case {
            relative_risk: TOLERATED,
            ..good
        },
        Case {
            good_for: 20_000,
            ..bad
        },
        good,
        bad,
    ];
    for case in cases {
        let rejections = (0..RUNS).filter(|seed| rejects(&case, threshold, *seed)).count() as u64;
        assert!(
            rejections >= case.min_rejections && rejections <= case.max_rejections,
            "{rejections} rejections in {RUNS} runs at relative risk {}",
            case.relative_risk
        );
    }
}
