//! One policy with one seed, from the first arrival to the last answer.

mod call;
mod reclaim;
mod summary;

use base::{Millis, Seed};
use call::{Call, State};
use fake::engine::model::{Output, Prompt, Sequence};

use super::event::{Agenda, Due};
use super::node::{Coming, Dispatch, End, Node, Order};
use super::pool::{Phase, Pool};
use super::{Choice, Config, Figures};
use crate::workload;

/// Microseconds of a millisecond and of a second.
const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
/// Longest span from the last arrival to the last answer, in virtual seconds.
const TAIL_S: u64 = 600;

/// A policy run under way.
#[derive(Debug)]
pub struct Trial<'a> {
    config: &'a Config,
    choice: Choice,
    seed: u64,
    now_us: u64,
    agenda: Agenda,
    calls: Vec<Call>,
    nodes: Vec<Seat>,
    pool: Pool,
    orders: Vec<Order>,
    outputs: Vec<Output>,
    open: usize,
}

/// A node with its next timer.
#[derive(Debug)]
struct Seat {
    node: Node,
    timer_us: Option<u64>,
}

impl<'a> Trial<'a> {
    /// A trial that has not begun.
    pub fn new(config: &'a Config, choice: Choice, seed: u64) -> Self {
        let arrivals = workload::generate(&config.streams, config.span_s * SECOND, Seed(seed));
        let mut trial = Self {
            config,
            choice,
            seed,
            now_us: 0,
            agenda: Agenda::default(),
            calls: arrivals.iter().filter_map(Call::new).collect(),
            nodes: Vec::new(),
            pool: Pool::new(config.engine.clone(), Millis(config.lag_ms)),
            orders: Vec::new(),
            outputs: Vec::new(),
            open: 0,
        };
        trial.open = trial.calls.len();
        for index in 0..config.nodes as usize {
            let node = Node::new(choice, config, index, Seed(seed));
            trial.nodes.push(Seat { node, timer_us: None });
        }
        for index in 0..config.replicas as usize {
            trial.add_replica(&config.zones[index % config.zones.len()]);
        }
        trial.plan();
        trial
    }

    /// Runs until every call has ended, or the longest tail after the last arrival is over.
    pub fn run(mut self) -> Figures {
        let limit_us = (self.config.span_s + TAIL_S) * SECOND;
        while self.open > 0 && self.now_us < limit_us {
            let Some(next) = self.agenda.next() else { break };
            self.now_us = next.at_us;
            self.meet(next.due);
        }
        self.figures()
    }

    fn plan(&mut self) {
        for (index, call) in self.calls.iter().enumerate() {
            self.agenda.add(call.due_us, Due::Arrive(index));
        }
        for (index, reclaim) in self.config.reclaims.iter().enumerate() {
            self.agenda.add(reclaim.at_ms * MS, Due::Notice(index));
            self.agenda
                .add((reclaim.at_ms + reclaim.notice_ms) * MS, Due::Reclaim(index));
            if let Some(after) = reclaim.replaced_after_ms {
                self.agenda.add((reclaim.at_ms + after) * MS, Due::Replace(index));
            }
        }
        self.agenda.add(0, Due::Report);
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / MS)
    }

    fn meet(&mut self, due: Due) {
        match due {
            Due::Arrive(call) => self.arrive(call),
            Due::Engine(replica) => self.advance(replica),
            Due::Report => self.report(),
            Due::Timer(node) => self.each(node, Node::tick),
            Due::Notice(index) => self.notice(&self.config.reclaims[index]),
            Due::Reclaim(index) => self.reclaim(&self.config.reclaims[index]),
            Due::Replace(index) => self.replace(&self.config.reclaims[index]),
        }
    }

    fn arrive(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.prompt = Prompt::new(call.question.prompt().as_bytes());
        let coming = Coming {
            call: index,
            stream: call.stream,
            prefix: self.pool.prefix(&call.prompt),
        };
        let node = self.node_of(index);
        self.each(node, |node, now, orders| node.arrive(now, coming, orders));
    }

    fn advance(&mut self, replica: usize) {
        if self.pool.replicas[replica].phase == Phase::Gone {
            return;
        }
        let mut outputs = std::mem::take(&mut self.outputs);
        self.pool.advance(self.now_us, replica, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Token { id, .. } => self.token(id as usize),
                Output::Done { id } => self.done(id as usize),
            }
        }
        self.outputs = outputs;
        self.expect(replica);
    }

    fn token(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.delivered += 1;
        call.tokens += 1;
        call.first_us.get_or_insert(self.now_us);
        let Some(dispatch) = call.dispatch.filter(|_| call.tokens == 1) else {
            return;
        };
        let node = self.node_of(index);
        self.each(node, |node, now, orders| node.first_token(now, dispatch, orders));
    }

    fn done(&mut self, index: usize) {
        self.end(index, State::Answered);
        self.finish(index, End::Whole);
    }

    fn end(&mut self, index: usize, state: State) {
        let call = &mut self.calls[index];
        if call.state == State::Open {
            call.state = state;
            self.open -= 1;
        }
    }

    /// Tells the call's node that its dispatch ended.
    fn finish(&mut self, index: usize, end: End) {
        let Some(dispatch) = self.calls[index].dispatch.take() else {
            return;
        };
        let node = self.node_of(index);
        self.each(node, |node, now, orders| node.finish(now, dispatch, end, orders));
    }

    fn report(&mut self) {
        let now = self.now();
        self.pool.note(now);
        let changes = self.pool.take_changes();
        for node in 0..self.nodes.len() {
            for replica in 0..self.pool.replicas.len() {
                if self.pool.replicas[replica].phase != Phase::Live {
                    continue;
                }
                let report = *self.pool.replicas[replica].reports.visible_at(now);
                self.each(node, |node, now, orders| {
                    node.report(now, replica, report, orders);
                });
            }
            for change in &changes {
                self.each(node, |node, now, orders| {
                    node.cached(now, change.replica, change.prefix, change.stored, orders);
                });
            }
        }
        self.agenda
            .add(self.now_us + self.config.report_ms * MS, Due::Report);
    }

    fn add_replica(&mut self, zone: &str) {
        let replica = self.pool.add(zone);
        for node in 0..self.nodes.len() {
            self.each(node, |node, now, orders| node.add(now, replica, zone, orders));
        }
    }

    /// Lets a node act, carries its orders out and keeps its timer.
    fn each<F>(&mut self, index: usize, act: F)
    where
        F: FnOnce(&mut Node, Millis, &mut Vec<Order>),
    {
        let now = self.now();
        let mut orders = std::mem::take(&mut self.orders);
        act(&mut self.nodes[index].node, now, &mut orders);
        for order in std::mem::take(&mut orders) {
            self.carry_out(index, order);
        }
        self.orders = orders;
        self.keep_timer(index);
    }

    fn keep_timer(&mut self, index: usize) {
        let seat = &mut self.nodes[index];
        let wake_us = seat.node.wake_at().map(|wake| (wake.0 * MS).max(self.now_us + 1));
        if wake_us != seat.timer_us {
            seat.timer_us = wake_us;
            if let Some(wake_us) = wake_us {
                self.agenda.add(wake_us, Due::Timer(index));
            }
        }
    }

    fn carry_out(&mut self, node: usize, order: Order) {
        match order {
            Order::Dispatch(dispatch) => self.dispatch(dispatch),
            Order::Refuse { call } => self.end(call, State::Refused),
            Order::Cancel { id } => {
                let mine = |call: &Call| call.dispatch.is_some_and(|dispatch| dispatch.id == id);
                let found = (node..self.calls.len()).step_by(self.nodes.len());
                let found = found.into_iter().find(|index| mine(&self.calls[*index]));
                if let Some(index) = found {
                    self.cancel(index);
                }
            }
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        if self.pool.replicas[dispatch.replica].phase == Phase::Gone {
            self.calls[dispatch.call].dispatch = Some(dispatch);
            return self.finish(dispatch.call, End::Cut { tokens: 0 });
        }
        let call = &mut self.calls[dispatch.call];
        call.dispatch = Some(dispatch);
        call.dispatches += 1;
        call.tokens = 0;
        let sequence = Sequence {
            id: dispatch.call as u64,
            prompt: call.prompt.clone(),
            resume_from: call.delivered,
            max_tokens: call.question.answer_tokens,
            priority: 0,
            imported: std::mem::take(&mut call.imported),
        };
        self.pool.submit(self.now_us, dispatch.replica, sequence);
        self.expect(dispatch.replica);
    }

    fn cancel(&mut self, index: usize) {
        if let Some(dispatch) = self.calls[index].dispatch {
            self.pool.replicas[dispatch.replica].engine.cancel(index as u64);
        }
        self.finish(index, End::Cancelled);
    }

    fn expect(&mut self, replica: usize) {
        if let Some(due) = self.pool.replicas[replica].engine.next_due() {
            self.agenda.add(due, Due::Engine(replica));
        }
    }

    fn node_of(&self, call: usize) -> usize {
        call % self.nodes.len()
    }
}
