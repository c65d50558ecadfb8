//! A workspace's limit over several nodes, replayed with the load that it answers.

use base::seed::Generator;
use base::{Millis, Seed};
use quota::{Bounds, Limit, Terms};
use rand::RngExt;

const NODES: usize = 6;
const RATE: f64 = 100_000.0;
const BURST: f64 = 100_000.0;
const BOUNDS: Bounds = Bounds {
    window: Millis(8_000),
    overshoot: 0.1,
    slack: 190_000.0,
};
/// Time until a node has heard what another let through.
const DELAY: Millis = Millis(70);
const LENGTH: Millis = Millis(60_000);

#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    /// Requests a second at all nodes together.
    per_second: f64,
    /// Part of the requests that go to the first node.
    skew: f64,
    /// Whether the nodes hear each other.
    is_connected: bool,
    /// Part of what the limit allows that must be let through.
    least_used: f64,
}

/// Requests as they came: time, tokens, whether they were let through.
fn play(load: Load, seed: Seed) -> Vec<(Millis, u64, bool)> {
    let mut generator = seed.generator();
    let terms = Terms {
        rate: RATE,
        burst: BURST,
        bounds: BOUNDS,
        nodes: NODES,
        is_connected: load.is_connected,
    };
    let mut limits = vec![Limit::new(Millis::ZERO, &terms); NODES];
    let mut told: Vec<(Millis, usize, u64)> = Vec::new();
    let mut requests = Vec::new();
    let mut now = 0.0;
    while now < LENGTH.0 as f64 {
        now += -generator.random_range(f64::EPSILON..1.0_f64).ln() / load.per_second * 1_000.0;
        let at = Millis(now as u64);
        told.retain(|(due, from, total)| {
            if *due > at {
                return true;
            }
            for (index, limit) in limits.iter_mut().enumerate() {
                if index != *from && load.is_connected {
                    limit.hear(at, *from as u64, *total, &terms);
                }
            }
            false
        });
        let node = if generator.random_bool(load.skew) {
            0
        } else {
            generator.random_range(0..NODES)
        };
        let tokens = tokens(&mut generator);
        let passed = limits[node].take(at, tokens, &terms).is_ok();
        if passed {
            told.push((at + DELAY, node, limits[node].total()));
        }
        requests.push((at, tokens, passed));
    }
    requests
}

/// Mostly small, some very large.
fn tokens(generator: &mut Generator) -> u64 {
    if generator.random_bool(0.1) {
        generator.random_range(30_000..60_000)
    } else {
        generator.random_range(500..6_000)
    }
}

fn most_in_window(requests: &[(Millis, u64, bool)]) -> u64 {
    let passed: Vec<(Millis, u64)> = requests.iter().filter(|it| it.2).map(|it| (it.0, it.1)).collect();
    let mut most = 0;
    let (mut first, mut sum) = (0, 0);
    for (at, tokens) in &passed {
        sum += tokens;
        while at.since(passed[first].0) >= BOUNDS.window {
            sum -= passed[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}

#[test]
fn never_above_and_well_used() {
    let allowed = RATE.mul_add(8.0, BURST) * 1.1 + BOUNDS.slack;
    let loads = [
        Load {
            name: "half of the limit",
            per_second: 6.0,
            skew: 0.0,
            is_connected: true,
            least_used: 0.97,
        },
        Load {
            name: "half of the limit, most at one node",
            per_second: 6.0,
            skew: 0.7,
            is_connected: true,
            least_used: 0.97,
        },
        Load {
            name: "seven times the limit",
            per_second: 90.0,
            skew: 0.0,
            is_connected: true,
            least_used: 0.9,
        },
        Load {
            name: "seven times the limit, nobody hears anybody",
            per_second: 90.0,
            skew: 0.3,
            is_connected: false,
            least_used: 0.8,
        },
    ];
    for load in loads {
        for seed in 0..8 {
            let requests = play(load, Seed(seed));
            let most = most_in_window(&requests);
            assert!(
                most as f64 <= allowed,
                "{} seed {seed}: {most} of {allowed}",
                load.name
            );
            let asked: u64 = requests.iter().map(|it| it.1).sum();
            let passed: u64 = requests.iter().filter(|it| it.2).map(|it| it.1).sum();
            let owed = (asked as f64).min(RATE * LENGTH.0 as f64 / 1_000.0);
            let used = passed as f64 / owed;
            assert!(
                used >= load.least_used,
                "{} seed {seed}: used {used:.3}",
                load.name
            );
        }
    }
}

/// A limit that is used up refuses large requests no more often than small ones.
#[test]
fn size_does_not_matter() {
    let load = Load {
        name: "twice the limit",
        per_second: 26.0,
        skew: 0.0,
        is_connected: true,
        least_used: 0.0,
    };
    let (mut large, mut small) = ((0, 0), (0, 0));
    for seed in 0..12 {
        for (_, tokens, passed) in play(load, Seed(seed)) {
            let group = if tokens >= 30_000 { &mut large } else { &mut small };
            group.0 += 1;
            group.1 += u32::from(passed);
        }
    }
    let part = |(asked, passed): (u32, u32)| f64::from(passed) / f64::from(asked);
    assert!(
        part(large) > 0.8 * part(small),
        "large {:.3}, small {:.3}",
        part(large),
        part(small)
    );
}
