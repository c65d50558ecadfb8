//! Virtual time, messages and faults.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use base::seed::Generator;
use base::{Incarnation, Millis, Revision, Seed};
use rand::RngExt;
use relay::{Answer, Candidate, Failure, Pace, Query, Source};

use crate::message::{Message, StoreResult, changes_between};
use crate::node::{Node, Waiting};
use crate::store::Store;

const NODES: usize = 8;
const KEYS: u64 = 6;
/// Maximum number of changes that a restore of the store loses.
const MAX_LOST_CHANGES: u64 = 40;
const PACE: Pace = Pace::new(Millis(4_000));
/// Timeout of a call to the store beyond its wait, in milliseconds.
const STORE_TIMEOUT: u64 = 1_000;

#[derive(Debug)]
pub struct World {
    now: u64,
    generator: Generator,
    store: Store,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64, Message)>>,
    answers: Vec<Answer>,
    results: Vec<StoreResult>,
    next_number: u64,
    /// Links cut one way until a time; the store has the index `NODES`.
    cuts: Vec<(usize, usize, u64)>,
    has_faults: bool,
    confirmations: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: 1,
            generator: Seed(seed).generator(),
            store: Store::new(),
            nodes: (0..NODES).map(|index| Node::new(index, 1)).collect(),
            queue: BinaryHeap::new(),
            answers: Vec::new(),
            results: Vec::new(),
            next_number: 0,
            cuts: Vec::new(),
            has_faults: false,
            confirmations: 0,
        };
        for node in 0..NODES {
            world.send_after(1, Message::Wake { node });
        }
        world
    }

    pub fn run_with_faults(&mut self, span: u64) {
        self.has_faults = true;
        self.run(span);
    }

    pub fn heal(&mut self) {
        self.has_faults = false;
        self.cuts.clear();
        for node in 0..NODES {
            self.nodes[node].frozen_until = 0;
            self.send_after(1, Message::Wake { node });
        }
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.queue.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, message))) = self.queue.pop() else {
                break;
            };
            while self.now < at {
                self.now += 1;
                self.disturb();
            }
            self.handle(message);
        }
        self.now = end;
    }

    pub fn ages(&self) -> Vec<(usize, u64)> {
        let age = |node: &Node| node.confirmed_at.map_or(u64::MAX, |at| self.now - at);
        self.nodes.iter().map(age).enumerate().collect()
    }

    pub const fn store_calls(&self) -> u64 {
        self.store.calls
    }

    pub const fn confirmations(&self) -> u64 {
        self.confirmations
    }

    /// Changes the store, and causes faults if there are to be any.
    fn disturb(&mut self) {
        if self.generator.random_ratio(1, 150) {
            let (key, deletes) = (
                self.generator.random_range(0..KEYS),
                self.generator.random_ratio(1, 3),
            );
            self.store.change(self.now, key, deletes);
            self.wake_watches();
        }
        if !self.has_faults {
            return;
        }
        let length = self.generator.random_range(50..4_000);
        let node = self.generator.random_range(0..NODES);
        let other = self.generator.random_range(0..=NODES);
        match self.generator.random_range(0..3_000) {
            0 => self.nodes[node].frozen_until = self.now + length,
            1..4 => self.cuts.push((node, other, self.now + length)),
            4..7 => self.cuts.push((other, node, self.now + length)),
            7 => self.store.forget(),
            8 => {
                self.nodes[node] = Node::new(node, self.now);
                self.send_after(1, Message::Wake { node });
            }
            10..12 => {
                let lost = self.generator.random_range(0..MAX_LOST_CHANGES);
                self.store.restore(self.now, lost);
            }
            // Other calls of the node name the era, too.
            12..24 if !self.is_cut(NODES, node) => self.nodes[node].era = self.store.era(),
            9 => self
                .cuts
                .extend((0..NODES).map(|node| (node, NODES, self.now + length))),
            _ => {}
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let is_same = |it: &(usize, usize, u64)| it.0 == from && it.1 == to && self.now < it.2;
        self.cuts.iter().any(is_same)
    }

    fn send_after(&mut self, delay: u64, message: Message) {
        self.next_number += 1;
        self.queue
            .push(Reverse((self.now + delay, self.next_number, message)));
    }

    /// Sends a message over a link, which may lose or delay it.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.is_cut(from, to) {
            return;
        }
        let delay = if self.has_faults && self.generator.random_ratio(1, 20) {
            self.generator.random_range(1..2_500)
        } else {
            self.generator.random_range(1..4)
        };
        self.send_after(delay, message);
    }

    /// Lets the watches that wait at the store answer.
    fn wake_watches(&mut self) {
        let waiting: Vec<Message> = self.queue.iter().map(|Reverse((_, _, it))| it.clone()).collect();
        for message in waiting {
            if let Message::Watch { node, call, until } = message
                && until > self.now
            {
                self.answer_watch(node, call);
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let receiver = match message {
            Message::Ask { to, .. } | Message::Answer { to, .. } => Some(to),
            Message::Watched { node, .. } | Message::Wake { node } => Some(node),
            Message::Watch { .. } => None,
        };
        // A frozen node finds its messages when it resumes.
        if let Some(node) = receiver
            && self.nodes[node].frozen_until > self.now
        {
            let delay = self.nodes[node].frozen_until - self.now;
            return self.send_after(delay, message);
        }
        match message {
            Message::Ask {
                from,
                to,
                call,
                after,
            } => self.take_question(from, to, call, after),
            Message::Answer {
                to,
                from,
                call,
                answer,
            } => self.take_answer(to, from, call, answer),
            Message::Watch { node, call, .. } => self.answer_watch(node, call),
            Message::Watched { node, call, result } => self.take_result(node, call, result),
            Message::Wake { node } => self.wake(node),
        }
    }

    fn wake(&mut self, index: usize) {
        match self.nodes[index].waiting {
            Waiting::Until(at) if at > self.now => {}
            Waiting::Until(_) => self.call(index),
            Waiting::Answer { until, .. } if until > self.now => {}
            Waiting::Answer { .. } => match self.nodes[index].asked {
                Some(peer) => self.fail_peer(index, peer, Failure::Unreachable),
                None => self.fail_store(index),
            },
        }
    }

    fn wait(&mut self, index: usize, delay: u64) {
        self.nodes[index].waiting = Waiting::Until(self.now + delay);
        self.send_after(delay, Message::Wake { node: index });
    }

    /// Makes the next call of a node.
    fn call(&mut self, index: usize) {
        let zone: Vec<Candidate> = (0..NODES)
            .map(|node| Candidate {
                node: Incarnation(node as u64),
                capacity: 1,
            })
            .collect();
        let now = self.now;
        let node = &mut self.nodes[index];
        let is_asked = node.is_asked(now);
        let source = node.path.source(Millis(now), &zone, is_asked);
        let revision = node.goes_on_from();
        self.next_number += 1;
        let call = self.next_number;
        let peer = match (source, revision) {
            (Source::Peer(peer), Some(after)) => Some((peer.0 as usize, after)),
            _ => None,
        };
        let timeout = match peer {
            Some(_) => PACE.answer_timeout().0,
            None => PACE.watch_timeout().0 + STORE_TIMEOUT,
        };
        let node = &mut self.nodes[index];
        node.asked = peer.map(|(peer, _)| peer);
        node.waiting = Waiting::Answer {
            call,
            sent: now,
            until: now + timeout,
        };
        self.send_after(timeout, Message::Wake { node: index });
        if let Some((peer, after)) = peer {
            let from = index;
            return self.send(
                from,
                peer,
                Message::Ask {
                    from,
                    to: peer,
                    call,
                    after,
                },
            );
        }
        self.nodes[index].desk_call = Some(self.nodes[index].desk.begin_call());
        self.store.calls += 1;
        if self.is_cut(index, NODES) {
            return;
        }
        let waits = revision.is_some_and(|it| it.number == self.store.revision().number);
        let wait = if waits { PACE.watch_timeout().0 } else { 0 };
        let until = self.now + wait;
        self.send_after(
            wait + 2,
            Message::Watch {
                node: index,
                call,
                until,
            },
        );
    }

    fn answer_watch(&mut self, index: usize, call: u64) {
        let node = &self.nodes[index];
        if !matches!(node.waiting, Waiting::Answer { call: current, .. } if current == call) {
            return;
        }
        let revision = self.store.revision();
        let result = match node.goes_on_from() {
            _ if self.is_cut(index, NODES) => StoreResult::Failed,
            None => StoreResult::Listing(self.store.state_at(revision), revision),
            Some(after) => match self.store.since(after.number) {
                Some(changes) => StoreResult::Changes(changes, revision),
                None => StoreResult::HistoryGone(revision.era),
            },
        };
        self.results.push(result);
        let result = self.results.len() - 1;
        self.send(
            NODES,
            index,
            Message::Watched {
                node: index,
                call,
                result,
            },
        );
    }

    fn take_result(&mut self, index: usize, call: u64, result: usize) {
        let Waiting::Answer {
            call: current, sent, ..
        } = self.nodes[index].waiting
        else {
            return;
        };
        if current != call {
            return;
        }
        let result = self.results[result].clone();
        let node = &mut self.nodes[index];
        let era = match &result {
            StoreResult::Changes(_, revision) | StoreResult::Listing(_, revision) => revision.era,
            StoreResult::HistoryGone(era) => *era,
            StoreResult::Failed => node.era,
        };
        if era < node.era {
            return self.fail_store(index);
        }
        node.era = era;
        let desk_call = node.desk_call.expect("a call to the store");
        let (answers, has_changes) = match result {
            StoreResult::Failed => return self.fail_store(index),
            StoreResult::HistoryGone(_) => {
                node.needs_listing = true;
                return self.wait(index, 1);
            }
            StoreResult::Changes(_, revision) if node.revision.is_none_or(|it| it.era != revision.era) => {
                node.needs_listing = true;
                return self.wait(index, 1);
            }
            StoreResult::Changes(changes, revision) => {
                node.apply(&changes, revision);
                let has_changes = !changes.is_empty();
                (node.desk.end_call(desk_call, &changes, revision), has_changes)
            }
            StoreResult::Listing(state, revision) => {
                let changes = changes_between(&node.view, &state, revision);
                let connects = node.revision.is_some_and(|it| it.era == revision.era);
                node.view = state;
                node.revision = Some(revision);
                node.needs_listing = false;
                let answers = if connects {
                    node.desk.end_listing(desk_call, &changes, revision)
                } else {
                    node.desk.reset(revision)
                };
                (answers, false)
            }
        };
        node.path.record_success(Millis(self.now), Source::Store);
        self.deliver(index, answers);
        self.confirm(index, sent);
        let delay = if self.nodes[index].is_asked(self.now) {
            PACE.call_delay(has_changes).0
        } else {
            1
        };
        self.wait(index, delay);
    }

    fn take_question(&mut self, from: usize, to: usize, call: u64, after: Revision) {
        let node = &mut self.nodes[to];
        match node.desk.ask(Millis(self.now), Query { after }) {
            Ok(question) => {
                node.askers.insert(question, (from, call));
            }
            Err(answer) => self.reply(to, from, call, answer),
        }
    }

    fn reply(&mut self, from: usize, to: usize, call: u64, answer: Answer) {
        self.answers.push(answer);
        let answer = self.answers.len() - 1;
        self.send(
            from,
            to,
            Message::Answer {
                to,
                from,
                call,
                answer,
            },
        );
    }

    fn deliver(&mut self, from: usize, answers: Vec<(relay::Question, Answer)>) {
        for (question, answer) in answers {
            if let Some((to, call)) = self.nodes[from].askers.remove(question) {
                self.reply(from, to, call, answer);
            }
        }
    }

    fn take_answer(&mut self, index: usize, from: usize, call: u64, answer: usize) {
        let Waiting::Answer {
            call: current, sent, ..
        } = self.nodes[index].waiting
        else {
            return;
        };
        if current != call {
            return;
        }
        let now = Millis(self.now);
        let node = &mut self.nodes[index];
        let answer = self.answers[answer].clone();
        let known = Revision::new(node.era, 0);
        if answer.is_earlier_than(known) {
            return self.fail_peer(index, from, Failure::Outdated);
        }
        if answer.is_later_than(known) {
            node.needs_listing = true;
            return self.wait(index, 1);
        }
        match answer {
            Answer::Changes {
                changes,
                revision,
                is_difference,
                is_confirmed,
            } => {
                node.apply(&changes, revision);
                node.path
                    .record_success(now, Source::Peer(Incarnation(from as u64)));
                let answers = node.desk.record_answer(&changes, revision, is_difference);
                self.deliver(index, answers);
                if is_confirmed {
                    self.confirm(index, sent);
                }
                self.wait(index, 1);
            }
            Answer::HistoryGone { .. } => self.fail_peer(index, from, Failure::HistoryGone),
            Answer::Unavailable => self.fail_peer(index, from, Failure::Unavailable),
        }
    }

    fn fail_peer(&mut self, index: usize, peer: usize, failure: Failure) {
        let peer = Incarnation(peer as u64);
        self.nodes[index]
            .path
            .record_peer_failure(Millis(self.now), peer, failure);
        self.wait(index, 100);
    }

    fn fail_store(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.path.record_store_failure(Millis(self.now));
        let answers = node.desk.fail_call();
        self.deliver(index, answers);
        self.wait(index, 200);
    }

    /// Checks the view of a node that counts it as confirmed for `sent`.
    fn confirm(&mut self, index: usize, sent: u64) {
        let node = &mut self.nodes[index];
        node.confirmed_at = node.confirmed_at.max(Some(sent));
        self.confirmations += 1;
        let revision = node.revision.expect("a view");
        let accepted = self.store.revision_at(sent);
        assert!(
            revision >= accepted,
            "node {index} at {}: complete up to {revision}, but {accepted} was accepted by {sent}",
            self.now
        );
        assert_eq!(
            node.view,
            self.store.state_at(revision),
            "node {index} at {}",
            self.now
        );
    }
}
