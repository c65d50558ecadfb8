//! Simulation of a server's rate limit shared by several nodes.

use base::seed::Generator;
use base::{Millis, Seed};
use quota::{Group, PeerTotal, Throttle};
use rand::RngExt;

const DURATION: Millis = Millis(40_000);
/// Time after the server named its limit from which the limit binds.
const LEARN_TIME: Millis = Millis(3_000);
const WINDOW: Millis = Millis(4_000);
/// Interval between a node's reports to the others, if its total has changed.
const REPORT_INTERVAL: Millis = Millis(50);
/// Interval between a node's reports otherwise.
const KEEPALIVE_INTERVAL: Millis = Millis(300);
/// Length of a step of the simulation.
const STEP: Millis = Millis(5);

#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    rate: f64,
    nodes: usize,
    /// Time that a report takes.
    transit: Millis,
    /// Requests per second over all nodes that could go to the server.
    requests_per_second: f64,
    /// Factor by which they grow for five seconds.
    surge: f64,
    /// Fraction of the requests that are sent to the first node.
    first_node_fraction: f64,
    /// Fraction of the reports that are lost.
    loss: f64,
    /// Whether the nodes receive each other's reports.
    is_connected: bool,
    /// Minimum fraction of the limit that must be used.
    min_used: f64,
}

const BASE: Load = Load {
    name: "nine nodes, a limit of one",
    rate: 1.0,
    nodes: 9,
    transit: Millis(20),
    requests_per_second: 10.0,
    surge: 1.0,
    first_node_fraction: 0.0,
    loss: 0.0,
    is_connected: true,
    min_used: 0.7,
};

const LOADS: [Load; 10] = [
    BASE,
    Load {
        name: "one node",
        nodes: 1,
        ..BASE
    },
    Load {
        name: "high demand",
        requests_per_second: 300.0,
        ..BASE
    },
    Load {
        name: "most requests at one node",
        requests_per_second: 60.0,
        first_node_fraction: 0.7,
        ..BASE
    },
    Load {
        name: "demand that grows tenfold",
        requests_per_second: 20.0,
        surge: 10.0,
        ..BASE
    },
    Load {
        name: "a fifth of the reports lost",
        requests_per_second: 60.0,
        loss: 0.2,
        ..BASE
    },
    Load {
        name: "a small limit",
        rate: 0.3,
        requests_per_second: 60.0,
        min_used: 0.6,
        ..BASE
    },
    Load {
        name: "a larger limit",
        rate: 8.0,
        requests_per_second: 60.0,
        min_used: 0.85,
        ..BASE
    },
    Load {
        name: "many nodes that hear each other late",
        nodes: 60,
        transit: Millis(500),
        requests_per_second: 60.0,
        min_used: 0.5,
        ..BASE
    },
    Load {
        name: "nodes that do not hear each other",
        requests_per_second: 60.0,
        is_connected: false,
        min_used: 0.5,
        ..BASE
    },
];

struct Report {
    due: Millis,
    to: usize,
    from: usize,
    total: u64,
}

/// Returns when requests were sent to the server.
fn simulate(load: Load, seed: Seed) -> Vec<Millis> {
    let mut generator = seed.generator();
    let group = Group {
        nodes: load.nodes,
        report_delay: load.transit + REPORT_INTERVAL,
        is_connected: load.is_connected,
    };
    let throttle = |node: usize| Throttle::new(Millis::ZERO, seed.derive(node as u64), load.rate);
    let mut throttles: Vec<Throttle> = (0..load.nodes).map(throttle).collect();
    let mut reports: Vec<Report> = Vec::new();
    let mut sent = Vec::new();
    let mut reported = vec![0; load.nodes];
    for now in (0..DURATION.0).step_by(STEP.0 as usize).map(Millis) {
        if load.is_connected && now.0.is_multiple_of(REPORT_INTERVAL.0) {
            for (from, throttle) in throttles.iter().enumerate() {
                let total = throttle.sent();
                if reported[from] != total || now.0.is_multiple_of(KEEPALIVE_INTERVAL.0) {
                    reported[from] = total;
                    reports.extend(broadcast(load, from, total, now, &mut generator));
                }
            }
        }
        reports.retain(|report| {
            if report.due <= now {
                let total = PeerTotal {
                    node: report.from as u64,
                    total: report.total,
                    is_new: false,
                };
                throttles[report.to].record_peer_total(now, total);
            }
            report.due > now
        });
        let is_surge = (Millis(15_000)..Millis(20_000)).contains(&now);
        let factor = if is_surge { load.surge } else { 1.0 };
        let per_step = load.requests_per_second * factor * STEP.0 as f64 / 1_000.0;
        let requests = per_step as usize + usize::from(generator.random_bool(per_step.fract()));
        for _ in 0..requests {
            let node = if generator.random_bool(load.first_node_fraction) {
                0
            } else {
                generator.random_range(0..load.nodes)
            };
            if throttles[node].wait_time(now, &group) == Millis::ZERO {
                throttles[node].record_send(now);
                sent.push(now);
            }
        }
    }
    sent
}

fn broadcast(load: Load, from: usize, total: u64, now: Millis, generator: &mut Generator) -> Vec<Report> {
    let others = (0..load.nodes).filter(|to| *to != from);
    let arriving = others.filter(|_| !generator.random_bool(load.loss));
    arriving
        .map(|to| Report {
            due: now + load.transit,
            to,
            from,
            total,
        })
        .collect()
}

fn max_in_window(sent: &[Millis]) -> usize {
    let bound: Vec<Millis> = sent.iter().copied().filter(|at| *at >= LEARN_TIME).collect();
    let in_window = |start: &Millis| {
        let window = bound
            .iter()
            .filter(|at| *at >= start && at.since(*start) < WINDOW);
        window.count()
    };
    bound.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn limit_of_a_server_is_kept_and_used() {
    for load in LOADS {
        let seeds = if load.nodes > 10 { 3 } else { 12 };
        let mut total = 0;
        for seed in 0..seeds {
            let sent = simulate(load, Seed(seed));
            let max = max_in_window(&sent);
            let allowed = 1.5 * load.rate * WINDOW.0 as f64 / 1_000.0 + 5.0;
            assert!(
                max as f64 <= allowed,
                "{} with seed {seed}: {max} requests in a window, allowed {allowed}",
                load.name
            );
            total += sent.len();
        }
        let possible = load.rate * DURATION.0 as f64 / 1_000.0 * seeds as f64;
        let used = total as f64 / possible;
        println!("{}: {used:.3} of the limit used", load.name);
        assert!(
            used >= load.min_used,
            "{}: only {used:.3} of the limit used",
            load.name
        );
        assert!(used <= 1.15, "{}: {used:.3} of the limit used", load.name);
    }
}

/// The total of another node from before this node knew of the limit counts for nothing.
#[test]
fn first_total_of_a_node_is_a_baseline() {
    let mut throttle = Throttle::new(Millis(1_000), Seed(1), 1.0);
    let report = |total| PeerTotal {
        node: 7,
        total,
        is_new: false,
    };
    throttle.record_peer_total(Millis(1_100), report(400));
    assert_eq!(throttle.wait_time(Millis(3_000), &Group::default()), Millis::ZERO);
    throttle.record_peer_total(Millis(3_000), report(403));
    assert!(throttle.wait_time(Millis(3_000), &Group::default()) > Millis(1_000));
}

#[test]
fn server_with_a_limit_of_zero_is_asked_rarely() {
    let mut throttle = Throttle::new(Millis(1_000), Seed(1), 0.0);
    assert!(throttle.wait_time(Millis(5_000), &Group::default()) > Millis(4_000));
    assert_eq!(
        throttle.wait_time(Millis(12_000), &Group::default()),
        Millis::ZERO
    );
}
