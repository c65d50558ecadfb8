//! Prints how rollouts end for each way of being bad, against a ramp by the clock alone.

#[path = "../tests/support/kv.rs"]
mod kv;
#[path = "../tests/support/ramp.rs"]
mod ramp;
#[path = "../tests/support/truth.rs"]
mod truth;
#[path = "../tests/support/world.rs"]
mod world;

use base::{Millis, Seed};
use rollout::{Event, Verdict};

use crate::kv::Fault;
use crate::ramp::Alarm;
use crate::truth::{Truth, Way};
use crate::world::{Setting, World};

/// End of a run: well after the deadline and the watch.
const END: Millis = Millis(320_000);
/// Runs of each case, unless `--seeds=` says otherwise.
const SEEDS: u64 = 40;

struct Case {
    name: &'static str,
    way: Way,
    trouble: bool,
    /// Answers of the store are lost, writes take effect late, and controllers are killed.
    faults: bool,
    rates: &'static [f64],
}

const BUSY: &[f64] = &[40.0, 20.0];
const QUIET: &[f64] = &[0.5, 0.05];

const fn case(name: &'static str, way: Way) -> Case {
    Case {
        name,
        way,
        trouble: false,
        faults: false,
        rates: BUSY,
    }
}

const LATER: Millis = Millis(35_000);
const AT_FULL: Millis = Millis(150_000);

const CASES: &[Case] = &[
    case("good", Way::Good),
    Case {
        trouble: true,
        ..case("good, general slowdown", Way::Good)
    },
    Case {
        faults: true,
        ..case("good, faults", Way::Good)
    },
    Case {
        rates: QUIET,
        ..case("good, little traffic", Way::Good)
    },
    case("fails 90%", Way::Fails),
    Case {
        trouble: true,
        ..case("fails 90%, general slowdown", Way::Fails)
    },
    Case {
        faults: true,
        ..case("fails 90%, faults", Way::Fails)
    },
    case("fails 10%", Way::FailsSome),
    case("three times slower", Way::Slows),
    case("half of requests hang", Way::Hangs),
    case("bad under load", Way::UnderLoad(15)),
    case("bad on one route", Way::OneRoute),
    case("fails later, moving", Way::FailsLater(LATER)),
    case("fails later, at full share", Way::FailsLater(AT_FULL)),
    case("slows later, at full share", Way::SlowsLater(AT_FULL)),
    Case {
        rates: QUIET,
        ..case("fails 90%, little traffic", Way::Fails)
    },
];

#[derive(Default)]
struct Row {
    in_time: u64,
    done: u64,
    undone: u64,
    on_bad: Vec<u64>,
    detect: Vec<u64>,
}

fn run(case: &Case, ramp: Option<Alarm>, seed: u64) -> World {
    // NB: trouble falls on the canary for odd seeds and on the full share for even ones.
    let from = Millis(if seed % 2 == 1 { 23_000 } else { 100_000 });
    let trouble = case.trouble.then(|| (from, from + Millis(60_000)));
    let setting = Setting {
        rates: case.rates.to_vec(),
        ramp,
        report: report_every(),
        ..Setting::default()
    };
    let mut world = World::new(
        setting,
        Truth {
            way: case.way,
            trouble,
        },
        Seed(seed),
    );
    world.run(world.setting.start);
    let plan = world.plan(1);
    world.send(0, Event::Declared(Box::new(plan)));
    for step in world.now.0 / 5_000..END.0 / 5_000 {
        world.run(Millis((step + 1) * 5_000));
        if case.faults {
            disturb(&mut world, step);
        }
    }
    world
}

fn disturb(world: &mut World, step: u64) {
    match step % 3 {
        0 => world.kv.fault = Some(Fault::AnswerLost),
        1 => world.kv.fault = Some(Fault::Late),
        _ => drop(world.seats.pop()),
    }
    if !world.is_held() {
        world.seat();
    }
}

fn row(case: &Case, ramp: Option<Alarm>) -> Row {
    let mut row = Row::default();
    for seed in 0..seeds() {
        let world = run(case, ramp, seed);
        let tally = &world.tally;
        row.in_time += u64::from(tally.full_at.is_some_and(|at| at <= Millis(140_000)));
        let verdict = tally.tells.first().map(|(_, verdict)| verdict);
        let ramped_back = world.ramp.as_ref().map(|ramp| ramp.undone);
        match (verdict, ramped_back) {
            (Some(Verdict::Done(_)), _) | (_, Some(false)) => row.done += 1,
            (Some(Verdict::Undone(_)), _) | (_, Some(true)) => row.undone += 1,
            (None, None) => {}
        }
        row.on_bad.push(tally.on_bad);
        let delay = tally
            .bad_since
            .zip(tally.vetoed_at)
            .map(|(bad, veto)| veto.since(bad).0);
        row.detect.extend(delay);
    }
    row.on_bad.sort_unstable();
    row.detect.sort_unstable();
    row
}

fn seeds() -> u64 {
    let wanted = std::env::args().find_map(|argument| argument.strip_prefix("--seeds=")?.parse().ok());
    wanted.unwrap_or(SEEDS)
}

/// Time between two reports of a node, by `--report-ms=`.
fn report_every() -> Millis {
    let wanted = std::env::args().find_map(|argument| argument.strip_prefix("--report-ms=")?.parse().ok());
    wanted.map_or(Setting::default().report, Millis)
}

fn of(sorted: &[u64]) -> String {
    let middle = sorted.get(sorted.len() / 2);
    middle.map_or_else(
        || "-".to_owned(),
        |middle| format!("{middle} / {}", sorted[sorted.len() - 1]),
    )
}

fn table(title: &str, ramp: Option<Alarm>) {
    println!("\n{title}");
    println!("| version | in time | done | undone | requests on bad | veto after, ms |");
    println!("|---|---|---|---|---|---|");
    let wanted = std::env::args()
        .skip(1)
        .find(|argument| !argument.starts_with("--"))
        .unwrap_or_default();
    for case in CASES.iter().filter(|case| case.name.contains(&wanted)) {
        let Row {
            in_time,
            done,
            undone,
            on_bad,
            detect,
        } = row(case, ramp);
        let (on_bad, detect) = (of(&on_bad), of(&detect));
        println!(
            "| {} | {in_time} | {done} | {undone} | {on_bad} | {detect} |",
            case.name
        );
    }
}

fn main() {
    println!(
        "{} seeds a row; requests on a bad version and time to the veto: median / most",
        seeds()
    );
    table("evidence", None);
    if std::env::args().any(|argument| argument == "--baselines") {
        table("clock only", Some(Alarm::None));
        table("clock, alarm against the rates from before", Some(Alarm::Before));
        table("clock, repeated test at p = 0.001", Some(Alarm::Repeated));
    }
}
