//! Trials end every call and lose no token, whatever the policy and the reclaims.

use fake::engine::model;
use load::policy::config::Reclaim;
use load::policy::{Choice, Config, Figures, Trial};
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
        policies: Choice::ALL.to_vec(),
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
struct Plan {
    seed: u64,
    rate: u8,
    replicas: u8,
    reclaims: Vec<(u16, bool, u16, bool)>,
}

impl Arbitrary for Plan {
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
        let plan = self.clone();
        Box::new(self.reclaims.shrink().map(move |reclaims| Self {
            reclaims,
            ..plan.clone()
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

fn sound(plan: Plan) -> bool {
    let reclaims = plan.reclaims.iter().copied().map(reclaim).collect();
    let config = config(plan.rate.into(), plan.replicas.into(), reclaims);
    drop(plan.reclaims);
    Choice::ALL.iter().all(|choice| {
        let figures = Trial::new(&config, *choice, plan.seed).run();
        let ended = figures.answered + figures.refused == figures.arrived;
        ended && figures.delivered == figures.owed && figures.recomputed <= figures.prefilled
    })
}

#[test]
fn every_call_ends() {
    check::property(60, 20, sound as fn(Plan) -> bool);
}

fn run(choice: Choice, config: &Config) -> Figures {
    Trial::new(config, choice, 1).run()
}

#[test]
fn same_seed_same_figures() {
    let config = config(10.0, 4, vec![reclaim((2_000, true, 300, true))]);
    for choice in Choice::ALL {
        assert_eq!(run(choice, &config), run(choice, &config));
    }
}

#[test]
fn export_saves_tokens_at_a_reclaim() {
    let reclaims = |export| vec![reclaim((2_000, true, 50, export))];
    let without = run(Choice::LeastInFlight, &config(10.0, 4, reclaims(false)));
    let with = run(Choice::LeastInFlight, &config(10.0, 4, reclaims(true)));
    assert_eq!((without.answered, with.answered), (without.arrived, with.arrived));
    assert!(with.recomputed < without.recomputed);
}
