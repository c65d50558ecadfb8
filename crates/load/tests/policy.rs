//! Simulations end every call and lose no token, for every policy and any reclaims.

use fake::engine::model;
use load::policy::config::Reclaim;
use load::policy::{Config, Kind, Simulation, Stats};
use load::workload::stream::{Questions, Work};
use load::workload::{Shape, Stream};
use quickcheck::{Arbitrary, Gen};

fn config(rate_per_s: f64, replicas: u32, reclaims: Vec<Reclaim>) -> Config {
    let questions = Questions {
        files: 6,
        file_tokens: 640,
        question_tokens: 20,
        answer_min: 2,
        answer_max: 20,
        follow_ups: 2,
        think_ms: 300,
    };
    let [endpoint, workspace] = ["e", "w"].map(str::to_owned);
    let priority = load::workload::stream::Priority::Normal;
    let work = Work::Questions(questions);
    Config {
        seeds: vec![1],
        span_s: 4,
        nodes: 3,
        zones: vec!["a".to_owned(), "b".to_owned()],
        replicas,
        target_ms: 200,
        timeout_ms: 1_000,
        report_ms: 100,
        lag_ms: 200,
        engine: model::Config {
            iteration_us: 5_000,
            cache_blocks: 120,
            max_running: 4,
            ..model::Config::default()
        },
        policies: Kind::ALL.to_vec(),
        streams: vec![Stream {
            endpoint,
            workspace,
            rate_per_s,
            shape: Shape::Steady,
            work,
            priority,
        }],
        reclaims,
    }
}

#[derive(Clone, Debug)]
struct Case {
    seed: u64,
    rate: u8,
    replicas: u8,
    reclaims: Vec<(u16, bool, u16, bool)>,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut reclaims = Vec::arbitrary(g);
        reclaims.truncate(3);
        Self {
            seed: u64::arbitrary(g),
            rate: u8::arbitrary(g) % 20 + 1,
            replicas: u8::arbitrary(g) % 5 + 1,
            reclaims,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let case = self.clone();
        Box::new(self.reclaims.shrink().map(move |reclaims| Self {
            reclaims,
            ..case.clone()
        }))
    }
}

fn reclaim((at, zone, notice, export): (u16, bool, u16, bool)) -> Reclaim {
    Reclaim {
        at_ms: u64::from(at % 5_000),
        zone: if zone { "a" } else { "b" }.to_owned(),
        notice_ms: u64::from(notice % 1_000),
        export,
        replaced_after_ms: Some(1_500),
    }
}

fn no_call_or_token_is_lost(case: Case) -> bool {
    let reclaims = case.reclaims.iter().copied().map(reclaim).collect();
    let config = config(case.rate.into(), case.replicas.into(), reclaims);
    drop(case.reclaims);
    Kind::ALL.iter().all(|kind| {
        let stats = Simulation::new(&config, *kind, case.seed).run();
        let ended = stats.answered + stats.refused == stats.arrived;
        ended && stats.delivered == stats.owed && stats.recomputed <= stats.prefilled
    })
}

#[test]
fn calls_end_and_no_token_is_lost() {
    check::property(60, 20, no_call_or_token_is_lost as fn(Case) -> bool);
}

fn run(kind: Kind, config: &Config) -> Stats {
    Simulation::new(config, kind, 1).run()
}

#[test]
fn same_seed_gives_same_stats() {
    let config = config(10.0, 4, vec![reclaim((2_000, true, 300, true))]);
    for kind in Kind::ALL {
        assert_eq!(run(kind, &config), run(kind, &config));
    }
}

#[test]
fn export_saves_tokens_at_a_reclaim() {
    let reclaims = |export| vec![reclaim((2_000, true, 50, export))];
    let without = run(Kind::LeastInFlight, &config(10.0, 4, reclaims(false)));
    let with = run(Kind::LeastInFlight, &config(10.0, 4, reclaims(true)));
    assert_eq!((without.answered, with.answered), (without.arrived, with.arrived));
    assert!(with.recomputed < without.recomputed);
}
