//! Leases follow demand and never exceed the limit in total, despite lost or repeated messages, restarts and takeovers.

use base::{Incarnation, Millis};
use quickcheck::{Arbitrary, Gen};
use route::lease::{Allocator, Grant, Holder, Request};

const LIMIT: u32 = 40;
const NODES: usize = 4;
const SPAN: Millis = Millis(1_000);

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A node requests a lease.
    Request { node: u8, demand: u8 },
    /// A message in transit arrives; a duplicated one stays in transit as well.
    Deliver { pick: u8, duplicate: bool },
    /// A message in transit is lost.
    Drop(u8),
    /// Time advances by milliseconds.
    Advance(u16),
    /// An allocator of the next term starts; the role of the previous one has ended.
    TakeOver,
    /// A node stops and a new incarnation replaces it.
    Restart(u8),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..10 => Self::Request {
                node: pick,
                demand: u8::arbitrary(g) % 60,
            },
            10..24 => Self::Deliver {
                pick,
                duplicate: bool::arbitrary(g),
            },
            24..26 => Self::Drop(pick),
            26..30 => Self::Advance(u16::arbitrary(g) % 600),
            30 => Self::TakeOver,
            _ => Self::Restart(pick),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Request {
        node: usize,
        incarnation: Incarnation,
        request: Request,
    },
    Grant {
        node: usize,
        incarnation: Incarnation,
        grant: Grant,
    },
}

struct Node {
    incarnation: Incarnation,
    /// Offset of the clock, as the clocks of processes are not comparable.
    clock_offset: Millis,
    holder: Holder,
}

struct Cluster {
    now: Millis,
    term: u64,
    allocator: Allocator,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    starts: u64,
}

impl Cluster {
    fn new() -> Self {
        let mut cluster = Self {
            now: Millis(10),
            term: 1,
            allocator: Allocator::new(Millis(10), 1, LIMIT, SPAN).with_fresh_start(),
            nodes: Vec::new(),
            messages: Vec::new(),
            starts: 0,
        };
        for _ in 0..NODES {
            let node = cluster.start();
            cluster.nodes.push(node);
        }
        cluster
    }

    fn start(&mut self) -> Node {
        self.starts += 1;
        Node {
            incarnation: Incarnation(self.starts),
            clock_offset: Millis(self.starts * 777),
            holder: Holder::new(),
        }
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Request { node, demand } => self.send_request(usize::from(node) % NODES, u32::from(demand)),
            Op::Deliver { pick, duplicate } => self.deliver(pick, duplicate),
            Op::Drop(pick) => {
                self.take_message(pick);
            }
            Op::Advance(span) => self.now = self.now + Millis(u64::from(span)),
            Op::TakeOver => {
                self.term += 1;
                self.allocator = Allocator::new(self.now, self.term, LIMIT, SPAN);
            }
            Op::Restart(pick) => {
                let node = self.start();
                self.nodes[usize::from(pick) % NODES] = node;
            }
        }
    }

    fn take_message(&mut self, pick: u8) -> Option<Message> {
        let index = usize::from(pick).checked_rem(self.messages.len())?;
        Some(self.messages.swap_remove(index))
    }

    fn send_request(&mut self, index: usize, demand: u32) {
        let node = &mut self.nodes[index];
        let request = node.holder.request(self.now + node.clock_offset, 0, demand);
        let incarnation = node.incarnation;
        self.messages.push(Message::Request {
            node: index,
            incarnation,
            request,
        });
    }

    fn deliver(&mut self, pick: u8, duplicate: bool) {
        let Some(message) = self.take_message(pick) else {
            return;
        };
        if duplicate {
            self.messages.push(message);
        }
        match message {
            Message::Request {
                node,
                incarnation,
                request,
            } => {
                if let Some(grant) = self.allocator.grant(self.now, incarnation, request) {
                    self.messages.push(Message::Grant {
                        node,
                        incarnation,
                        grant,
                    });
                }
            }
            Message::Grant {
                node,
                incarnation,
                grant,
            } => {
                let node = &mut self.nodes[node];
                if node.incarnation == incarnation {
                    node.holder.accept(self.now + node.clock_offset, grant);
                }
            }
        }
    }

    fn total_share(&self) -> u32 {
        self.nodes
            .iter()
            .map(|node| node.holder.share(self.now + node.clock_offset))
            .sum()
    }

    /// Runs rounds in which each node requests and receives a lease.
    fn rounds(&mut self, rounds: usize, demands: [u32; NODES]) {
        for _ in 0..rounds {
            for (index, demand) in demands.into_iter().enumerate() {
                self.send_request(index, demand);
                self.deliver(0, false);
                self.deliver(0, false);
            }
            self.now = self.now + Millis(200);
        }
    }
}

#[test]
fn shares_never_sum_above_the_limit() {
    fn holds(ops: Vec<Op>) -> bool {
        let mut cluster = Cluster::new();
        ops.into_iter().all(|op| {
            cluster.run(op);
            cluster.total_share() <= LIMIT
        })
    }
    check::property(20_000, 200, holds as fn(Vec<Op>) -> bool);
}

struct Case {
    demands: [u32; NODES],
    shares: [u32; NODES],
}

/// Demands are met from the smallest up, and the remainder is spread evenly.
const CASES: [Case; 5] = [
    Case {
        demands: [10, 10, 10, 10],
        shares: [10, 10, 10, 10],
    },
    Case {
        demands: [60, 0, 0, 0],
        shares: [40, 0, 0, 0],
    },
    Case {
        demands: [0, 60, 4, 60],
        shares: [0, 18, 4, 18],
    },
    Case {
        demands: [0, 0, 0, 0],
        shares: [10, 10, 10, 10],
    },
    Case {
        demands: [8, 4, 12, 0],
        shares: [12, 8, 16, 4],
    },
];

#[test]
fn shares_follow_demand_within_four_rounds() {
    let mut cluster = Cluster::new();
    for case in CASES {
        cluster.rounds(4, case.demands);
        let now = cluster.now;
        let shares: Vec<u32> = cluster
            .nodes
            .iter()
            .map(|node| node.holder.share(now + node.clock_offset))
            .collect();
        assert_eq!(shares, case.shares, "demands {:?}", case.demands);
    }
}

/// A new allocator lets nodes keep what they hold, so that a takeover causes no refusals.
#[test]
fn takeover_preserves_shares() {
    let mut cluster = Cluster::new();
    cluster.rounds(3, [10, 10, 10, 10]);
    cluster.run(Op::TakeOver);
    cluster.rounds(3, [10, 10, 10, 10]);
    assert_eq!(cluster.total_share(), LIMIT);
}
