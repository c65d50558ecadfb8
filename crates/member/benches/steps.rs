//! Measures the cost of single steps and the memory of one node's state, for several cluster sizes.

#[path = "model/net.rs"]
#[expect(dead_code, reason = "this benchmark uses only the registrations")]
mod net;

use base::{Incarnation, Millis, Seed};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use member::frame::{Message, StatusUpdate};
use member::gossip::Event;
use member::node::Registration;
use member::{Acks, Frame, Generation, Gossip};

const NODES: [usize; 4] = [8, 100, 500, 2_000];
const ZONES: usize = 23;
const REGIONS: usize = 6;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

fn gossip(count: usize) -> Gossip {
    let nodes = (0..count).map(|index| net::node(index, ZONES, REGIONS));
    let listed = nodes.map(|node| Registration {
        node,
        lease_expired: false,
    });
    let mut gossip = Gossip::new(net::node(0, ZONES, REGIONS), Vec::new(), Seed(1));
    gossip.step(Millis(1), Event::RegistrationsListed(listed.collect()));
    gossip.step(Millis(100), Event::Tick);
    gossip
}

fn frame(message: Message) -> Event {
    let from = net::node(1, ZONES, REGIONS).incarnation;
    Event::Receive(Frame {
        from,
        confirmed: None,
        message,
    })
}

fn suspicion(index: usize) -> Event {
    let update = StatusUpdate {
        node: net::node(index, ZONES, REGIONS).incarnation,
        sequence: 0,
        leaving: false,
        suspect: true,
        gone: false,
        age: 0,
        hops: 8,
    };
    let (items, updates) = (Vec::new(), vec![update]);
    frame(Message::Push { items, updates })
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn print_memory() {
    const COPIES: usize = 16;
    for count in NODES {
        let before = resident_bytes();
        let copies: Vec<Gossip> = (0..COPIES).map(|_| gossip(count)).collect();
        let bytes_per_node = resident_bytes().saturating_sub(before) / COPIES as u64;
        println!(
            "{count} nodes: {} KiB of state per node, {} items",
            bytes_per_node / 1_024,
            copies[0].len()
        );
    }
}

fn steps(criterion: &mut Criterion) {
    print_memory();
    for count in NODES {
        let mut node = gossip(count);
        let mut now = 1_000;
        criterion.bench_function(&format!("tick/{count}"), |bench| {
            bench.iter(|| {
                now += 100;
                for index in [1, 2, 3, 4] {
                    let it = net::node(index, ZONES, REGIONS).incarnation;
                    node.step(Millis(now), Event::Reachable(it));
                }
                node.step(Millis(now), Event::Tick).len()
            });
        });
        let applied = Generation(1);
        criterion.bench_function(&format!("heartbeat/{count}"), |bench| {
            bench.iter(|| {
                node.step(Millis(now), frame(Message::Heartbeat { applied }))
                    .len()
            });
        });
        let initial = gossip(count);
        criterion.bench_function(&format!("suspicion/{count}"), |bench| {
            let event = || (initial.clone(), suspicion(5));
            let step = |input: (Gossip, Event)| {
                let (mut gossip, event) = input;
                let actions = gossip.step(Millis(2_000), event).len();
                (gossip, actions)
            };
            bench.iter_batched(event, step, BatchSize::LargeInput);
        });
        criterion.bench_function(&format!("acks/{count}"), |bench| {
            bench.iter(|| Acks::new(initial.view(), initial.bodies()).in_force());
        });
        criterion.bench_function(&format!("find/{count}"), |bench| {
            bench.iter(|| initial.view().member(Incarnation(7)).is_some());
        });
    }
}

criterion_group!(benches, steps);
criterion_main!(benches);
