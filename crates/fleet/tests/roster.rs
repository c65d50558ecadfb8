//! Random lists, notices, refusals and marks: no work to a replica once it is leaving.

use std::net::SocketAddr;

use base::{Incarnation, Millis, Name};
use fleet::Vm;
use fleet::roster::{Action, Entry, Event, Replica, Roster, Settings};
use quickcheck::TestResult;

/// Kind, VM and amount of one step.
type Step = (u8, u8, u8);

const NAMES: u8 = 3;
const RUNS: u8 = 3;

fn vm(which: u8) -> Vm {
    Vm {
        name: Name::new(format!("vm-{}", which % NAMES)),
        incarnation: Incarnation(u64::from(which / NAMES % RUNS)),
    }
}

fn entry(which: u8, leaving: bool) -> Entry {
    let replica = Replica {
        vm: vm(which),
        endpoint: Name::new("endpoint"),
        zone: Name::new("zone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    };
    Entry { replica, leaving }
}

fn event(step: Step) -> Event {
    let (kind, which, amount) = step;
    match kind % 7 {
        0..=2 => {
            let is_listed = |it: &u8| amount >> (it % 8) & 1 == 1;
            let listed = (0..NAMES * RUNS).filter(is_listed);
            Event::Listed(listed.map(|it| entry(it, it == which % 16)).collect())
        }
        3 => Event::Notice {
            vm: vm(which),
            left: Millis(u64::from(amount)),
        },
        4 => Event::Refused(vm(which)),
        5 => Event::Answered(vm(which)),
        _ => Event::Marked(vm(which)),
    }
}

fn schedule(steps: Vec<Step>) -> TestResult {
    let mut roster = Roster::new(Settings::new());
    let mut leaving: Vec<Vm> = Vec::new();
    let mut now = 0;
    for step in steps {
        now += u64::from(step.2) * 100;
        for action in roster.step(Millis(now), event(step)) {
            match action {
                Action::Leaving { vm, .. } => {
                    assert!(!leaving.contains(&vm), "marked twice");
                    leaving.push(vm);
                }
                Action::Up(vm) | Action::Paused(vm) => {
                    assert!(!leaving.contains(&vm), "{vm:?} is leaving");
                }
                Action::Gone(_) => {}
            }
        }
        for which in 0..NAMES * RUNS {
            let vm = vm(which);
            assert!(
                !(roster.is_up(Millis(now), &vm) && leaving.contains(&vm)),
                "{vm:?} gets work"
            );
        }
        if let Event::Notice { vm, .. } | Event::Marked(vm) = event(step) {
            assert!(leaving.contains(&vm), "a notice or a peer's mark counts at once");
        }
    }
    for name in 0..NAMES {
        let up = (0..RUNS).map(|run| vm(run * NAMES + name));
        let up = up.filter(|it| roster.is_up(Millis(now), it)).count();
        assert!(up <= 1, "two runs of one VM get work");
    }
    TestResult::passed()
}

#[test]
fn no_work_once_leaving() {
    check::property(3_000, 60, schedule as fn(Vec<Step>) -> TestResult);
}

struct Case {
    events: Vec<Event>,
    up: bool,
}

#[test]
fn one_refusal_pauses_and_several_mark() {
    let refused = || Event::Refused(vm(0));
    let answered = || Event::Answered(vm(0));
    let listed = || Event::Listed(vec![entry(0, false)]);
    let cases = [
        Case {
            events: vec![],
            up: true,
        },
        Case {
            events: vec![refused(), refused()],
            up: true,
        },
        Case {
            events: vec![refused(), refused(), answered(), refused()],
            up: true,
        },
        Case {
            events: vec![refused(), refused(), refused()],
            up: false,
        },
        Case {
            events: vec![refused(), refused(), refused(), answered(), listed()],
            up: false,
        },
        Case {
            events: vec![Event::Listed(vec![entry(0, true)]), listed()],
            up: false,
        },
    ];
    for case in cases {
        let mut roster = Roster::new(Settings::new());
        roster.step(Millis(0), listed());
        for event in case.events {
            roster.step(Millis(10), event);
        }
        let later = Millis(1_000);
        roster.step(later, Event::Tick);
        assert_eq!(roster.is_up(later, &vm(0)), case.up);
    }
}
