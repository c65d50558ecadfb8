//! Checks on random VM lists, notices, refusals and peer reports that a leaving replica receives no new requests.

use std::net::SocketAddr;

use base::{Incarnation, Millis, Name};
use fleet::Vm;
use fleet::inventory::{Action, Entry, Event, Inventory, Replica, Settings};
use quickcheck::TestResult;

/// Kind of event, VM index and amount of one step.
type Step = (u8, u8, u8);

const VMS: u8 = 3;
const INCARNATIONS: u8 = 3;

fn vm(index: u8) -> Vm {
    Vm {
        name: Name::new(format!("vm-{}", index % VMS)),
        incarnation: Incarnation(u64::from(index / VMS % INCARNATIONS)),
    }
}

fn entry(index: u8, leaving: bool) -> Entry {
    let replica = Replica {
        vm: vm(index),
        endpoint: Name::new("endpoint"),
        zone: Name::new("zone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    };
    Entry { replica, leaving }
}

fn event(step: Step) -> Event {
    let (kind, index, amount) = step;
    match kind % 7 {
        0..=2 => {
            let is_listed = |it: &u8| amount >> (it % 8) & 1 == 1;
            let listed = (0..VMS * INCARNATIONS).filter(is_listed);
            Event::Listed(listed.map(|it| entry(it, it == index % 16)).collect())
        }
        3 => Event::ReclaimNotice {
            vm: vm(index),
            remaining: Millis(u64::from(amount)),
        },
        4 => Event::ConnectionRefused(vm(index)),
        5 => Event::Answered(vm(index)),
        _ => Event::PeerReport(vm(index)),
    }
}

fn leaving_is_final(steps: Vec<Step>) -> TestResult {
    let mut inventory = Inventory::new(Settings::new());
    let mut leaving: Vec<Vm> = Vec::new();
    let mut now = 0;
    for step in steps {
        now += u64::from(step.2) * 100;
        for action in inventory.step(Millis(now), event(step)) {
            match action {
                Action::Leaving { vm, .. } => {
                    assert!(!leaving.contains(&vm), "{vm:?} was recorded as leaving twice");
                    leaving.push(vm);
                }
                Action::Available(vm) | Action::Paused(vm) => {
                    assert!(
                        !leaving.contains(&vm),
                        "{vm:?} is leaving but became available or paused"
                    );
                }
                Action::Removed(_) => {}
            }
        }
        for index in 0..VMS * INCARNATIONS {
            let vm = vm(index);
            assert!(
                !(inventory.is_available(Millis(now), &vm) && leaving.contains(&vm)),
                "{vm:?} is leaving but available"
            );
        }
        if let Event::ReclaimNotice { vm, .. } | Event::PeerReport(vm) = event(step) {
            assert!(
                leaving.contains(&vm),
                "a notice or a peer's report must take effect immediately"
            );
        }
    }
    for name in 0..VMS {
        let available = (0..INCARNATIONS).map(|incarnation| vm(incarnation * VMS + name));
        let available = available
            .filter(|it| inventory.is_available(Millis(now), it))
            .count();
        assert!(available <= 1, "two incarnations of one VM are available");
    }
    TestResult::passed()
}

#[test]
fn no_new_work_after_leaving() {
    check::property(3_000, 60, leaving_is_final as fn(Vec<Step>) -> TestResult);
}

struct Case {
    events: Vec<Event>,
    is_available: bool,
}

#[test]
fn one_refusal_pauses_and_three_mark_as_leaving() {
    let refused = || Event::ConnectionRefused(vm(0));
    let answered = || Event::Answered(vm(0));
    let listed = || Event::Listed(vec![entry(0, false)]);
    let cases = [
        Case {
            events: vec![],
            is_available: true,
        },
        Case {
            events: vec![refused(), refused()],
            is_available: true,
        },
        Case {
            events: vec![refused(), refused(), answered(), refused()],
            is_available: true,
        },
        Case {
            events: vec![refused(), refused(), refused()],
            is_available: false,
        },
        Case {
            events: vec![refused(), refused(), refused(), answered(), listed()],
            is_available: false,
        },
        Case {
            events: vec![Event::Listed(vec![entry(0, true)]), listed()],
            is_available: false,
        },
    ];
    for case in cases {
        let mut inventory = Inventory::new(Settings::new());
        inventory.step(Millis(0), listed());
        for event in case.events {
            inventory.step(Millis(10), event);
        }
        let later = Millis(1_000);
        inventory.step(later, Event::Tick);
        assert_eq!(inventory.is_available(later, &vm(0)), case.is_available);
    }
}
