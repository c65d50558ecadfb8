//! Simulation of a workspace's limit shared by several nodes.

use base::seed::Generator;
use base::{Millis, Seed};
use quota::{LimitSettings, Limiter, PeerTotal, Tolerance};
use rand::RngExt;

const RATE: f64 = 100_000.0;
const BURST: f64 = 100_000.0;
const TOLERANCE: Tolerance = Tolerance {
    window: Millis(8_000),
    overshoot: 0.1,
    slack: 190_000.0,
};
const DURATION: Millis = Millis(60_000);

#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    nodes: usize,
    /// Time until a node receives what another node admitted.
    report_delay: Millis,
    /// Time from the start of the nodes to the first request.
    uptime: Millis,
    /// Requests per second over all nodes.
    requests_per_second: f64,
    /// Fraction of the requests that are sent to the first node.
    first_node_fraction: f64,
    /// Whether the nodes receive each other's reports.
    is_connected: bool,
    /// Minimum fraction of the allowed tokens that must be admitted.
    min_used: f64,
}

/// Returns the requests in order of arrival: time, tokens, and whether each was admitted.
fn simulate(load: Load, seed: Seed) -> Vec<(Millis, u64, bool)> {
    let mut generator = seed.generator();
    let settings = LimitSettings {
        rate: RATE,
        burst: BURST,
        tolerance: TOLERANCE,
        nodes: load.nodes,
        report_delay: load.report_delay,
        is_connected: load.is_connected,
    };
    let limiter = |node: usize| Limiter::new(Millis::ZERO, seed.derive(node as u64), &settings);
    let mut limiters: Vec<Limiter> = (0..load.nodes).map(limiter).collect();
    let mut in_transit: Vec<(Millis, usize, u64)> = Vec::new();
    let mut requests = Vec::new();
    let start = load.uptime.0 as f64;
    let mut now = start;
    while now < start + DURATION.0 as f64 {
        now += -generator.random_range(f64::EPSILON..1.0_f64).ln() / load.requests_per_second * 1_000.0;
        let at = Millis(now as u64);
        in_transit.retain(|(due, from, total)| {
            if *due > at {
                return true;
            }
            for (index, limiter) in limiters.iter_mut().enumerate() {
                if index != *from && load.is_connected {
                    let report = PeerTotal {
                        node: *from as u64,
                        total: *total,
                        is_new: false,
                    };
                    limiter.record_peer_total(at, report, &settings);
                }
            }
            false
        });
        let node = if generator.random_bool(load.first_node_fraction) {
            0
        } else {
            generator.random_range(0..load.nodes)
        };
        let tokens = request_tokens(&mut generator);
        let admitted = limiters[node].try_acquire(at, tokens, &settings).is_ok();
        if admitted {
            in_transit.push((at + load.report_delay, node, limiters[node].admitted()));
        }
        requests.push((at, tokens, admitted));
    }
    requests
}

/// Draws the size of a request: mostly small, one in ten very large.
fn request_tokens(generator: &mut Generator) -> u64 {
    if generator.random_bool(0.1) {
        generator.random_range(30_000..60_000)
    } else {
        generator.random_range(500..6_000)
    }
}

fn max_admitted_in_window(requests: &[(Millis, u64, bool)]) -> u64 {
    let admitted: Vec<(Millis, u64)> = requests.iter().filter(|it| it.2).map(|it| (it.0, it.1)).collect();
    let mut max = 0;
    let (mut first, mut sum) = (0, 0);
    for (at, tokens) in &admitted {
        sum += tokens;
        while at.since(admitted[first].0) >= TOLERANCE.window {
            sum -= admitted[first].1;
            first += 1;
        }
        max = max.max(sum);
    }
    max
}

#[test]
fn limit_is_kept_and_well_used() {
    let max_allowed = RATE.mul_add(8.0, BURST) * 1.1 + TOLERANCE.slack;
    let loads = [
        Load {
            name: "half of the limit",
            nodes: 6,
            report_delay: Millis(70),
            uptime: Millis::ZERO,
            requests_per_second: 6.0,
            first_node_fraction: 0.0,
            is_connected: true,
            min_used: 0.97,
        },
        Load {
            name: "half of the limit, most requests at one node",
            nodes: 6,
            report_delay: Millis(70),
            uptime: Millis::ZERO,
            requests_per_second: 6.0,
            first_node_fraction: 0.7,
            is_connected: true,
            min_used: 0.97,
        },
        Load {
            name: "seven times the limit",
            nodes: 6,
            report_delay: Millis(70),
            uptime: Millis::ZERO,
            requests_per_second: 90.0,
            first_node_fraction: 0.0,
            is_connected: true,
            min_used: 0.9,
        },
        Load {
            name: "seven times the limit, nodes not connected",
            nodes: 6,
            report_delay: Millis(70),
            uptime: Millis::ZERO,
            requests_per_second: 90.0,
            first_node_fraction: 0.3,
            is_connected: false,
            min_used: 0.8,
        },
        Load {
            name: "half of the limit, many nodes that hear each other through hubs",
            nodes: 195,
            report_delay: Millis(600),
            uptime: Millis(10_000),
            requests_per_second: 6.0,
            first_node_fraction: 0.0,
            is_connected: true,
            min_used: 0.97,
        },
        Load {
            name: "seven times the limit, many nodes that hear each other through hubs",
            nodes: 195,
            report_delay: Millis(600),
            uptime: Millis(10_000),
            requests_per_second: 90.0,
            first_node_fraction: 0.0,
            is_connected: true,
            min_used: 0.9,
        },
        Load {
            name: "seven times the limit, many nodes that are not connected",
            nodes: 195,
            report_delay: Millis(600),
            uptime: Millis(10_000),
            requests_per_second: 90.0,
            first_node_fraction: 0.0,
            is_connected: false,
            min_used: 0.8,
        },
    ];
    for load in loads {
        for seed in 0..8 {
            let requests = simulate(load, Seed(seed));
            let max = max_admitted_in_window(&requests);
            assert!(
                max as f64 <= max_allowed,
                "{} with seed {seed}: admitted {max} tokens in a window, allowed {max_allowed}",
                load.name
            );
            let requested: u64 = requests.iter().map(|it| it.1).sum();
            let admitted: u64 = requests.iter().filter(|it| it.2).map(|it| it.1).sum();
            let admissible = (requested as f64).min(RATE * DURATION.0 as f64 / 1_000.0);
            let used = admitted as f64 / admissible;
            assert!(
                used >= load.min_used,
                "{} with seed {seed}: only {used:.3} of the allowed tokens admitted",
                load.name
            );
        }
    }
}

/// An exhausted limit refuses large requests no more often than small ones, within a margin of 20%.
#[test]
fn request_size_does_not_affect_refusals() {
    let load = Load {
        name: "twice the limit",
        nodes: 6,
        report_delay: Millis(70),
        uptime: Millis::ZERO,
        requests_per_second: 26.0,
        first_node_fraction: 0.0,
        is_connected: true,
        min_used: 0.0,
    };
    let (mut large, mut small) = ((0, 0), (0, 0));
    for seed in 0..12 {
        for (_, tokens, admitted) in simulate(load, Seed(seed)) {
            let group = if tokens >= 30_000 { &mut large } else { &mut small };
            group.0 += 1;
            group.1 += u32::from(admitted);
        }
    }
    let admitted_fraction = |(requested, admitted): (u32, u32)| f64::from(admitted) / f64::from(requested);
    assert!(
        admitted_fraction(large) > 0.8 * admitted_fraction(small),
        "admitted fraction of large requests {:.3}, of small requests {:.3}",
        admitted_fraction(large),
        admitted_fraction(small)
    );
}

/// A node that does not hear the others for three seconds does not find the tokens of that time in the common balance, nor those of
/// requests that did not run.
#[test]
fn isolated_node_saves_the_limit_of_all() {
    let settings = LimitSettings {
        rate: RATE,
        burst: BURST,
        tolerance: TOLERANCE,
        nodes: 10,
        report_delay: Millis(70),
        is_connected: true,
    };
    let isolated = LimitSettings {
        is_connected: false,
        ..settings
    };
    let mut limiter = Limiter::new(Millis::ZERO, Seed(1), &settings);
    let mut admitted = |now: u64, settings: &LimitSettings| {
        let mut admitted = 0;
        while limiter.try_acquire(Millis(now), 1_000, settings).is_ok() {
            admitted += 1;
        }
        if !settings.is_connected {
            limiter.refund(admitted * 1_000);
        }
        admitted
    };
    admitted(5_000, &settings);
    for now in (5_100..8_100).step_by(100) {
        admitted(now, &isolated);
    }
    let after = admitted(8_100, &settings);
    assert!(after <= 30, "{after} thousand tokens");
}

/// Two nodes do not hear each other for three seconds in which both use up their shares, and then do again.
#[test]
fn nodes_that_hear_each_other_again_use_the_limit() {
    const CUT: std::ops::Range<u64> = 5_000..8_000;
    const END: u64 = 10_000;
    const STEP: u64 = 20;
    let settings = LimitSettings {
        rate: RATE,
        burst: BURST,
        tolerance: TOLERANCE,
        nodes: 2,
        report_delay: Millis(70),
        is_connected: true,
    };
    let mut limiters = [1, 2].map(|seed| Limiter::new(Millis::ZERO, Seed(seed), &settings));
    let mut admitted_after = 0;
    for now in (0..END).step_by(STEP as usize) {
        let settings = LimitSettings {
            is_connected: !CUT.contains(&now),
            ..settings
        };
        let now = Millis(now);
        for index in 0..2 {
            let other = &limiters[1 - index];
            let report = PeerTotal {
                node: 1 - index as u64,
                total: other.admitted(),
                is_new: now == Millis::ZERO,
            };
            let limiter = &mut limiters[index];
            if settings.is_connected {
                limiter.record_peer_total(now, report, &settings);
            }
            let before = limiter.admitted();
            while limiter.try_acquire(now, 500, &settings).is_ok() {}
            if now.0 >= CUT.end {
                admitted_after += limiter.admitted() - before;
            }
        }
    }
    let expected = RATE * (END - CUT.end) as f64 / 1_000.0;
    let used = admitted_after as f64 / expected;
    assert!((0.75..1.3).contains(&used), "{used:.3} of the limit");
}
