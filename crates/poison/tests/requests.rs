//! One request that comes again and again at many nodes, before few replicas that come back, by seeds.

use base::seed::Generator;
use base::{Millis, Seed};
use poison::{Detector, Digest, Suspects};
use rand::RngExt;

/// Length of a step.
const STEP: Millis = Millis(10);
const STEPS: u64 = 4_000;
/// Steps between the datagrams of a node, and between the sums of hubs.
const DATAGRAM_STEPS: u64 = 5;
const SUM_STEPS: u64 = 20;
/// Share of datagrams that is lost.
const LOSS: f64 = 0.2;
/// Steps until a replica that crashed is back.
const RESTART_STEPS: u64 = 330;
/// Time from the third crash after which dispatches of the request count.
const CONTACT: Millis = Millis(3_000);
/// Number of such dispatches.
const MAX_SENT: usize = 3;
/// Maximum share of sound requests that are refused.
const MAX_REFUSED: f64 = 0.01;
/// Steps in which no request that crashes replicas has come yet.
const QUIET_STEPS: u64 = 400;

struct Cluster {
    name: &'static str,
    zones: usize,
    nodes_per_zone: usize,
    replicas: usize,
    /// Sound requests in a step.
    sound: f64,
    /// Number of different sound requests; the first ones are the most common.
    sound_kinds: f64,
    /// Requests in a step that crash replicas, and how many different ones there are.
    bad: f64,
    bad_kinds: u64,
    /// Maximum number of steps for which a request runs.
    max_steps: u64,
    /// Whether a request that was lost is sent to a second replica.
    is_safe: bool,
    /// Whether all replicas are lost at once every ten seconds, for another reason.
    mass_crashes: bool,
    /// Whether zones hear of each other through hubs only.
    is_layered: bool,
}

const SMALL: Cluster = Cluster {
    name: "four replicas",
    zones: 4,
    nodes_per_zone: 2,
    replicas: 4,
    sound: 0.3,
    sound_kinds: 1e6,
    bad: 0.05,
    bad_kinds: 1,
    max_steps: 12,
    is_safe: true,
    mass_crashes: false,
    is_layered: false,
};

const CLUSTERS: [Cluster; 8] = [
    SMALL,
    Cluster {
        name: "seldom",
        bad: 0.004,
        ..SMALL
    },
    Cluster {
        name: "must not be repeated",
        is_safe: false,
        ..SMALL
    },
    Cluster {
        name: "popular sound requests",
        sound_kinds: 30.0,
        mass_crashes: true,
        ..SMALL
    },
    Cluster {
        name: "two at a time",
        bad: 0.03,
        bad_kinds: 2,
        replicas: 6,
        ..SMALL
    },
    Cluster {
        name: "many replicas",
        replicas: 40,
        sound: 1.5,
        ..SMALL
    },
    Cluster {
        name: "large",
        zones: 6,
        nodes_per_zone: 10,
        replicas: 40,
        sound: 1.5,
        is_layered: true,
        ..SMALL
    },
    Cluster {
        name: "large, many requests at each replica",
        zones: 6,
        nodes_per_zone: 10,
        replicas: 8,
        sound: 2.0,
        bad: 0.006,
        max_steps: 200,
        is_safe: false,
        is_layered: true,
        ..SMALL
    },
];

struct Request {
    node: usize,
    replica: usize,
    kind: u64,
    ends: u64,
    dispatches: usize,
}

/// Ids from here on are those of requests that crash replicas.
const BAD: u64 = 1 << 60;

struct Run<'a> {
    cluster: &'a Cluster,
    generator: Generator,
    detectors: Vec<Detector>,
    /// Id, and step at which it is back.
    replicas: Vec<(u64, u64)>,
    requests: Vec<Request>,
    crashes: Vec<Vec<u64>>,
    sent_late: Vec<usize>,
    sound: usize,
    refused: usize,
}

impl<'a> Run<'a> {
    fn new(cluster: &'a Cluster, seed: Seed) -> Self {
        let nodes = cluster.zones * cluster.nodes_per_zone;
        Self {
            cluster,
            generator: seed.generator(),
            detectors: vec![Detector::new(Millis(1_000)); nodes],
            replicas: (0..cluster.replicas as u64).map(|id| (id, 0)).collect(),
            requests: Vec::new(),
            crashes: vec![Vec::new(); cluster.bad_kinds as usize],
            sent_late: vec![0; cluster.bad_kinds as usize],
            sound: 0,
            refused: 0,
        }
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.arrive(step);
            self.process(step);
            if self.cluster.mass_crashes && step % 1_000 == 900 {
                for replica in 0..self.replicas.len() {
                    self.crash(step, replica);
                }
            }
            self.exchange(step);
        }
    }

    fn arrive(&mut self, step: u64) {
        let mut left = self.cluster.sound;
        while left > 0.0 && self.generator.random_bool(left.min(1.0)) {
            left -= 1.0;
            let random: f64 = self.generator.random_range(0.0..1.0);
            let kind = (random * random * self.cluster.sound_kinds) as u64;
            self.admit(step, kind);
        }
        if step > QUIET_STEPS && self.generator.random_bool(self.cluster.bad) {
            let kind = BAD + self.generator.random_range(0..self.cluster.bad_kinds);
            self.admit(step, kind);
        }
    }

    fn admit(&mut self, step: u64, kind: u64) {
        let node = self.generator.random_range(0..self.detectors.len());
        self.sound += usize::from(kind < BAD);
        if self.detectors[node].blocked_for(now(step), &[kind]).is_some() {
            self.refused += usize::from(kind < BAD);
            return;
        }
        self.send(step, node, kind, 1);
    }

    fn send(&mut self, step: u64, node: usize, kind: u64, dispatches: usize) {
        let up = (0..self.replicas.len()).filter(|index| self.replicas[*index].1 <= step);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        let replica = up[self.generator.random_range(0..up.len())];
        if kind >= BAD {
            let index = (kind - BAD) as usize;
            let third = self.crashes[index].get(2);
            if third.is_some_and(|third| now(step) > now(*third) + CONTACT) {
                self.sent_late[index] += 1;
            }
        }
        let ends = step + self.generator.random_range(1..self.cluster.max_steps);
        self.requests.push(Request {
            node,
            replica,
            kind,
            ends,
            dispatches,
        });
    }

    fn process(&mut self, step: u64) {
        let due: Vec<(usize, u64)> = self
            .requests
            .iter()
            .filter(|request| request.kind >= BAD && request.ends <= step)
            .map(|request| (request.replica, request.kind))
            .collect();
        for (replica, kind) in due {
            if self.replicas[replica].1 <= step {
                self.crashes[(kind - BAD) as usize].push(step);
                self.crash(step, replica);
            }
        }
        let detectors = &mut self.detectors;
        self.requests.retain(|request| {
            if request.ends <= step {
                detectors[request.node].record_processed(now(step), &Suspects::new(request.kind, []));
            }
            request.ends > step
        });
    }

    fn crash(&mut self, step: u64, replica: usize) {
        let (id, back_at) = self.replicas[replica];
        if back_at > step {
            return;
        }
        self.replicas[replica] = (id + 1_000, step + RESTART_STEPS);
        let (lost, kept): (Vec<Request>, Vec<Request>) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|request| request.replica == replica);
        self.requests = kept;
        for request in lost {
            let detector = &mut self.detectors[request.node];
            detector.record_crash(now(step), id, &[request.kind]);
            let may_repeat = self.cluster.is_safe && request.dispatches < 2;
            if may_repeat && detector.may_repeat(now(step), &[request.kind]) {
                self.send(step, request.node, request.kind, request.dispatches + 1);
            }
        }
    }

    fn exchange(&mut self, step: u64) {
        let size = self.cluster.nodes_per_zone;
        for from in 0..self.detectors.len() {
            if (step + from as u64).is_multiple_of(DATAGRAM_STEPS) {
                self.detectors[from].review(now(step));
                let digest = self.detectors[from].digest(now(step));
                let is_heard = |to: usize| !self.cluster.is_layered || from / size == to / size;
                let receivers: Vec<usize> = (0..self.detectors.len()).filter(|to| is_heard(*to)).collect();
                self.deliver(step, from, &receivers, &digest);
            }
            let is_hub = self.cluster.is_layered && from % size == 0;
            if is_hub && (step + from as u64).is_multiple_of(SUM_STEPS) {
                let digest = self.detectors[from].digest(now(step));
                let hubs: Vec<usize> = (0..self.cluster.zones).map(|zone| zone * size).collect();
                self.deliver(step, from, &hubs, &digest);
                let zone: Vec<usize> = (from..from + size).collect();
                self.deliver(step, from, &zone, &digest);
            }
        }
    }

    fn deliver(&mut self, step: u64, from: usize, receivers: &[usize], digest: &Digest) {
        for to in receivers.iter().filter(|to| **to != from) {
            if !self.generator.random_bool(LOSS) {
                self.detectors[*to].record_digest(now(step), digest);
            }
        }
    }
}

fn now(step: u64) -> Millis {
    Millis(1_000_000 + step * STEP.0)
}

/// Replicas get the request a few times more once it has crashed three of them, and sound requests are served.
#[test]
fn repeated_request_crashes_replicas_and_popular_ones_are_refused() {
    let mut failed = Vec::new();
    for cluster in &CLUSTERS {
        for seed in 0..seeds() {
            let mut run = Run::new(cluster, Seed(seed));
            run.run();
            let refused = run.refused as f64 / run.sound as f64;
            let is_late = run.sent_late.iter().any(|sent| *sent > MAX_SENT);
            let has_crashed = run.crashes.iter().any(|crashes| crashes.len() >= 3);
            if is_late || refused > MAX_REFUSED || !has_crashed {
                let crashes: Vec<usize> = run.crashes.iter().map(Vec::len).collect();
                failed.push(format!(
                    "{}, seed {seed}: {crashes:?} crashes, {:?} sent late, {refused:.4} of sound requests refused",
                    cluster.name, run.sent_late
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Seeds for each cluster; `BILBERRYLATCH_TESTS` sets another number.
fn seeds() -> u64 {
    let number = std::env::var("BILBERRYLATCH_TESTS").ok();
    number.and_then(|text| text.parse().ok()).unwrap_or(1)
}
