//! Prints the outcomes of rollouts for each defect, and with `--baselines` those of ramps driven by the
//! clock.

#[path = "../tests/support/behavior.rs"]
mod behavior;
#[path = "../tests/support/kv.rs"]
mod kv;
#[path = "../tests/support/ramp.rs"]
mod ramp;
#[path = "../tests/support/simulation.rs"]
mod simulation;

use base::{Millis, Seed};
use rollout::{Event, Verdict};

use crate::behavior::{Behavior, Defect};
use crate::kv::Fault;
use crate::ramp::Alarm;
use crate::simulation::{Settings, Simulation};

/// End of a run, well after the deadline and the watch.
const END: Millis = Millis(320_000);
/// Runs of each case, unless set by `--seeds=`.
const SEEDS: u64 = 40;

struct Case {
    name: &'static str,
    defect: Defect,
    disturbance: bool,
    /// Whether answers of the store are lost, writes are delayed and controllers are killed.
    faults: bool,
    rates: &'static [f64],
}

const BUSY: &[f64] = &[40.0, 20.0];
const QUIET: &[f64] = &[0.5, 0.05];

const fn case(name: &'static str, defect: Defect) -> Case {
    Case {
        name,
        defect,
        disturbance: false,
        faults: false,
        rates: BUSY,
    }
}

const WHILE_MOVING: Millis = Millis(35_000);
const AT_FULL_SHARE: Millis = Millis(150_000);

const CASES: &[Case] = &[
    case("good", Defect::None),
    Case {
        disturbance: true,
        ..case("good, general slowdown", Defect::None)
    },
    Case {
        faults: true,
        ..case("good, faults", Defect::None)
    },
    Case {
        rates: QUIET,
        ..case("good, little traffic", Defect::None)
    },
    case("fails 90%", Defect::Fails),
    Case {
        disturbance: true,
        ..case("fails 90%, general slowdown", Defect::Fails)
    },
    Case {
        faults: true,
        ..case("fails 90%, faults", Defect::Fails)
    },
    case("fails 10%", Defect::FailsSome),
    case("three times slower", Defect::Slows),
    case("half of requests hang", Defect::Hangs),
    case("bad under load", Defect::UnderLoad(15)),
    case("bad on one route", Defect::OneRoute),
    case("fails later, moving", Defect::FailsLater(WHILE_MOVING)),
    case("fails later, at full share", Defect::FailsLater(AT_FULL_SHARE)),
    case("slows later, at full share", Defect::SlowsLater(AT_FULL_SHARE)),
    Case {
        rates: QUIET,
        ..case("fails 90%, little traffic", Defect::Fails)
    },
];

#[derive(Default)]
struct Row {
    in_time: u64,
    done: u64,
    undone: u64,
    served_bad: Vec<u64>,
    detection_ms: Vec<u64>,
}

fn run(case: &Case, ramp: Option<Alarm>, seed: u64) -> Simulation {
    // NB: the disturbance falls on the canary phase for odd seeds and on the full share for even ones.
    let from = Millis(if seed % 2 == 1 { 23_000 } else { 100_000 });
    let disturbance = case.disturbance.then(|| (from, from + Millis(60_000)));
    let settings = Settings {
        rates: case.rates.to_vec(),
        ramp,
        report: report_every(),
        ..Settings::default()
    };
    let mut simulation = Simulation::new(
        settings,
        Behavior {
            defect: case.defect,
            disturbance,
        },
        Seed(seed),
    );
    simulation.run(simulation.settings.start);
    let plan = simulation.plan(1);
    simulation.send(0, Event::Declared(Box::new(plan)));
    for step in simulation.now.0 / 5_000..END.0 / 5_000 {
        simulation.run(Millis((step + 1) * 5_000));
        if case.faults {
            inject_fault(&mut simulation, step);
        }
    }
    simulation
}

fn inject_fault(simulation: &mut Simulation, step: u64) {
    match step % 3 {
        0 => simulation.kv.fault = Some(Fault::AnswerLost),
        1 => simulation.kv.fault = Some(Fault::Delayed),
        _ => drop(simulation.holders.pop()),
    }
    if !simulation.is_held() {
        simulation.add_holder();
    }
}

fn measure(case: &Case, ramp: Option<Alarm>) -> Row {
    let mut row = Row::default();
    for seed in 0..seeds() {
        let simulation = run(case, ramp, seed);
        let observed = &simulation.observed;
        row.in_time += u64::from(observed.full_share_at.is_some_and(|at| at <= Millis(140_000)));
        let verdict = observed.verdicts.first().map(|(_, verdict)| verdict);
        let ramp_undone = simulation.ramp.as_ref().map(|ramp| ramp.undone);
        match (verdict, ramp_undone) {
            (Some(Verdict::Done(_)), _) | (_, Some(false)) => row.done += 1,
            (Some(Verdict::Undone(_)), _) | (_, Some(true)) => row.undone += 1,
            (None, None) => {}
        }
        row.served_bad.push(observed.served_bad);
        let delay = observed
            .bad_since
            .zip(observed.vetoed_at)
            .map(|(bad, veto)| veto.since(bad).0);
        row.detection_ms.extend(delay);
    }
    row.served_bad.sort_unstable();
    row.detection_ms.sort_unstable();
    row
}

fn seeds() -> u64 {
    let requested = std::env::args().find_map(|argument| argument.strip_prefix("--seeds=")?.parse().ok());
    requested.unwrap_or(SEEDS)
}

/// Time between two reports of a node, which `--report-ms=` sets.
fn report_every() -> Millis {
    let requested = std::env::args().find_map(|argument| argument.strip_prefix("--report-ms=")?.parse().ok());
    requested.map_or(Settings::default().report, Millis)
}

fn median_and_max(sorted: &[u64]) -> String {
    let middle = sorted.get(sorted.len() / 2);
    middle.map_or_else(
        || "-".to_owned(),
        |middle| format!("{middle} / {}", sorted[sorted.len() - 1]),
    )
}

fn table(title: &str, ramp: Option<Alarm>) {
    println!("\n{title}");
    println!("| version | in time | done | undone | requests to bad version | time to veto, ms |");
    println!("|---|---|---|---|---|---|");
    let requested = std::env::args()
        .skip(1)
        .find(|argument| !argument.starts_with("--"))
        .unwrap_or_default();
    for case in CASES.iter().filter(|case| case.name.contains(&requested)) {
        let Row {
            in_time,
            done,
            undone,
            served_bad,
            detection_ms,
        } = measure(case, ramp);
        let (served_bad, detection_ms) = (median_and_max(&served_bad), median_and_max(&detection_ms));
        println!(
            "| {} | {in_time} | {done} | {undone} | {served_bad} | {detection_ms} |",
            case.name
        );
    }
}

fn main() {
    println!(
        "{} seeds per row; requests to a bad version and time to the veto: median / maximum",
        seeds()
    );
    table("evidence", None);
    if std::env::args().any(|argument| argument == "--baselines") {
        table("clock only", Some(Alarm::None));
        table("clock, alarm on past rates", Some(Alarm::PastRates));
        table("clock, repeated test at p = 0.001", Some(Alarm::RepeatedTest));
    }
}
