//! Many nodes before replicas that crash, by seeds.

use base::seed::Generator;
use base::{Millis, Seed};
use poison::{Detector, Digest};
use rand::RngExt;

/// Length of a step.
const STEP: Millis = Millis(10);
const STEPS: u64 = 3_000;
/// Steps between digests, and the share of them that is lost.
const DIGEST_STEPS: u64 = 10;
const DIGEST_LOSS: f64 = 0.2;
/// Steps until a replica that crashed is back, as another one.
const RESTART_STEPS: u64 = 400;
/// Time from the fifth crash after which requests with the part count.
const CONTACT: Millis = Millis(3_000);
/// Number of such requests that replicas may receive.
const MAX_SENT: usize = 3;
/// Maximum share of sound requests that are refused.
const MAX_REFUSED: f64 = 0.01;

/// A deployment and its load.
struct Cluster {
    name: &'static str,
    nodes: usize,
    replicas: usize,
    /// Sound requests in a step.
    sound: f64,
    /// Requests with the bad part in a step.
    bad: f64,
    /// Position of the bad part.
    is_first: bool,
    /// Share of replicas that crash at once for another reason, every ten seconds.
    mass_crash: f64,
    /// Whether nodes restart, one every five seconds.
    restarts: bool,
}

const CLUSTERS: [Cluster; 5] = [
    Cluster {
        name: "small",
        nodes: 9,
        replicas: 18,
        sound: 0.75,
        bad: 0.025,
        is_first: false,
        mass_crash: 0.0,
        restarts: false,
    },
    Cluster {
        name: "the first part",
        nodes: 6,
        replicas: 12,
        sound: 0.5,
        bad: 0.02,
        is_first: true,
        mass_crash: 0.0,
        restarts: true,
    },
    Cluster {
        name: "seldom",
        nodes: 9,
        replicas: 18,
        sound: 0.75,
        bad: 0.003,
        is_first: false,
        mass_crash: 0.0,
        restarts: true,
    },
    Cluster {
        name: "mass crashes",
        nodes: 9,
        replicas: 18,
        sound: 0.75,
        bad: 0.02,
        is_first: false,
        mass_crash: 0.5,
        restarts: true,
    },
    Cluster {
        name: "large",
        nodes: 12,
        replicas: 40,
        sound: 1.5,
        bad: 0.05,
        is_first: false,
        mass_crash: 0.3,
        restarts: false,
    },
];

/// A request at a replica.
struct Request {
    node: usize,
    replica: usize,
    parts: Vec<u64>,
    is_bad: bool,
    /// Steps at which its first event comes, and at which it ends.
    begins: u64,
    ends: u64,
}

struct Replica {
    id: u64,
    back_at: u64,
}

struct Run<'a> {
    cluster: &'a Cluster,
    generator: Generator,
    detectors: Vec<Detector>,
    replicas: Vec<Replica>,
    requests: Vec<Request>,
    crashes: usize,
    fifth: Option<u64>,
    sent_late: usize,
    sound: usize,
    refused: usize,
}

const FIRST_PARTS: f64 = 40.0;
const SECOND_PARTS: f64 = 300.0;
const BAD: u64 = 0xbad;

impl<'a> Run<'a> {
    fn new(cluster: &'a Cluster, seed: Seed) -> Self {
        Self {
            cluster,
            generator: seed.generator(),
            detectors: vec![Detector::new(Millis(1_000)); cluster.nodes],
            replicas: (0..cluster.replicas)
                .map(|id| Replica {
                    id: id as u64,
                    back_at: 0,
                })
                .collect(),
            requests: Vec::new(),
            crashes: 0,
            fifth: None,
            sent_late: 0,
            sound: 0,
            refused: 0,
        }
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.arrive(step, self.cluster.sound, false);
            self.arrive(step, self.cluster.bad, true);
            self.process(step);
            if step % DIGEST_STEPS == 0 {
                self.exchange(step);
            }
            if self.cluster.mass_crash > 0.0 && step % 1_000 == 500 {
                for replica in 0..self.replicas.len() {
                    if self.generator.random_bool(self.cluster.mass_crash) {
                        self.crash(step, replica);
                    }
                }
            }
            if self.cluster.restarts && step % 500 == 499 {
                let node = self.generator.random_range(0..self.cluster.nodes);
                self.detectors[node] = Detector::new(now(step));
                self.requests.retain(|request| request.node != node);
            }
        }
    }

    fn arrive(&mut self, step: u64, rate: f64, is_bad: bool) {
        let mut left = rate;
        while left > 0.0 && self.generator.random_bool(left.min(1.0)) {
            left -= 1.0;
            self.send(step, is_bad);
        }
    }

    fn send(&mut self, step: u64, is_bad: bool) {
        let parts = self.parts(is_bad);
        let node = self.generator.random_range(0..self.cluster.nodes);
        self.sound += usize::from(!is_bad);
        if self.detectors[node].blocked_for(now(step), &parts).is_some() {
            self.refused += usize::from(!is_bad);
            return;
        }
        let up: Vec<usize> = (0..self.replicas.len())
            .filter(|index| self.replicas[*index].back_at <= step)
            .collect();
        if up.is_empty() {
            return;
        }
        let replica = up[self.generator.random_range(0..up.len())];
        if is_bad && self.fifth.is_some_and(|fifth| now(step) > now(fifth) + CONTACT) {
            self.sent_late += 1;
        }
        let begins = step + self.generator.random_range(3..40);
        self.requests.push(Request {
            node,
            replica,
            parts,
            is_bad,
            begins,
            ends: begins + self.generator.random_range(10..300),
        });
    }

    /// Few first parts are very common, most second ones rare.
    fn parts(&mut self, is_bad: bool) -> Vec<u64> {
        let draw = |generator: &mut Generator, number: f64| {
            let random: f64 = generator.random_range(0.0..1.0);
            (random * random * number) as u64
        };
        let first = 1_000 + draw(&mut self.generator, FIRST_PARTS);
        let second = 10_000 + draw(&mut self.generator, SECOND_PARTS);
        match (is_bad, self.cluster.is_first) {
            (false, _) => vec![first, second],
            (true, false) => vec![1_000, BAD],
            (true, true) => vec![BAD, second],
        }
    }

    fn process(&mut self, step: u64) {
        let crashing: Vec<usize> = self
            .requests
            .iter()
            .filter(|request| request.is_bad && request.begins <= step)
            .map(|request| request.replica)
            .collect();
        for replica in crashing {
            if self.replicas[replica].back_at <= step {
                self.crashes += 1;
                if self.crashes == 5 {
                    self.fifth = Some(step);
                }
                self.crash(step, replica);
            }
        }
        let detectors = &mut self.detectors;
        self.requests.retain(|request| {
            if request.ends <= step {
                detectors[request.node].record_survival(now(step), &request.parts);
            }
            request.ends > step
        });
    }

    fn crash(&mut self, step: u64, replica: usize) {
        let id = self.replicas[replica].id;
        let detectors = &mut self.detectors;
        self.requests.retain(|request| {
            // Requests that have had events for a while did not cause the crash.
            if request.replica == replica && request.begins + 30 > step {
                detectors[request.node].record_crash(now(step), id, &request.parts);
            }
            request.replica != replica
        });
        self.replicas[replica] = Replica {
            id: id + 1_000,
            back_at: step + RESTART_STEPS,
        };
    }

    fn exchange(&mut self, step: u64) {
        for detector in &mut self.detectors {
            detector.review(now(step));
        }
        let digests: Vec<Digest> = self.detectors.iter().map(|it| it.digest(now(step))).collect();
        for (from, digest) in digests.iter().enumerate() {
            for to in 0..self.detectors.len() {
                if from != to && !self.generator.random_bool(DIGEST_LOSS) {
                    self.detectors[to].record_digest(now(step), digest);
                }
            }
        }
    }
}

fn now(step: u64) -> Millis {
    Millis(1_000_000 + step * STEP.0)
}

/// Replicas receive few requests with the bad part once it has crashed five, and sound requests are served.
#[test]
fn bad_parts_are_blocked_and_sound_ones_are_not() {
    let mut failed = Vec::new();
    for cluster in &CLUSTERS {
        for seed in 0..seeds() {
            let mut run = Run::new(cluster, Seed(seed));
            run.run();
            let refused = run.refused as f64 / run.sound as f64;
            if run.sent_late > MAX_SENT || refused > MAX_REFUSED {
                failed.push(format!(
                    "{}, seed {seed}: {} crashes, {} sent late, {refused:.4} of sound requests refused",
                    cluster.name, run.crashes, run.sent_late
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
