//! Discrete-event simulation of one policy with one seed.

mod call;
mod reclaim;
mod summary;

use base::{Millis, Seed};
use call::{Call, State};
use fake::engine::model::{Output, Prompt, Sequence};

use super::event::{Event, Queue};
use super::node::{Command, Dispatch, End, Node, Request};
use super::pool::{Phase, Pool};
use super::{Config, Kind, Stats};
use crate::workload;

const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;
/// Maximum virtual time after the last arrival until the simulation stops, in seconds.
const MAX_TAIL_S: u64 = 600;

/// State of a simulation.
#[derive(Debug)]
pub struct Simulation<'a> {
    config: &'a Config,
    kind: Kind,
    seed: u64,
    now_us: u64,
    queue: Queue,
    calls: Vec<Call>,
    nodes: Vec<NodeSlot>,
    pool: Pool,
    commands: Vec<Command>,
    outputs: Vec<Output>,
    open_calls: usize,
}

/// A node and the time of its scheduled timer.
#[derive(Debug)]
struct NodeSlot {
    node: Node,
    timer_us: Option<u64>,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation and schedules its arrivals and reclaims.
    pub fn new(config: &'a Config, kind: Kind, seed: u64) -> Self {
        let arrivals = workload::generate(&config.streams, config.span_s * US_PER_S, Seed(seed));
        let mut simulation = Self {
            config,
            kind,
            seed,
            now_us: 0,
            queue: Queue::default(),
            calls: arrivals.iter().filter_map(Call::new).collect(),
            nodes: Vec::new(),
            pool: Pool::new(config.engine.clone(), Millis(config.lag_ms)),
            commands: Vec::new(),
            outputs: Vec::new(),
            open_calls: 0,
        };
        simulation.open_calls = simulation.calls.len();
        for index in 0..config.nodes as usize {
            let node = Node::new(kind, config, index, Seed(seed));
            simulation.nodes.push(NodeSlot { node, timer_us: None });
        }
        for index in 0..config.replicas as usize {
            simulation.add_replica(&config.zones[index % config.zones.len()]);
        }
        simulation.schedule_events();
        simulation
    }

    /// Runs until all calls have ended or `MAX_TAIL_S` after the end of arrivals has passed.
    pub fn run(mut self) -> Stats {
        let limit_us = (self.config.span_s + MAX_TAIL_S) * US_PER_S;
        while self.open_calls > 0 && self.now_us < limit_us {
            let Some(next) = self.queue.pop() else { break };
            self.now_us = next.at_us;
            self.handle(next.event);
        }
        self.stats()
    }

    fn schedule_events(&mut self) {
        for (index, call) in self.calls.iter().enumerate() {
            self.queue.schedule(call.due_us, Event::Arrival(index));
        }
        for (index, reclaim) in self.config.reclaims.iter().enumerate() {
            self.queue
                .schedule(reclaim.at_ms * US_PER_MS, Event::ReclaimNotice(index));
            self.queue.schedule(
                (reclaim.at_ms + reclaim.notice_ms) * US_PER_MS,
                Event::Reclaim(index),
            );
            if let Some(after) = reclaim.replaced_after_ms {
                self.queue
                    .schedule((reclaim.at_ms + after) * US_PER_MS, Event::Replacement(index));
            }
        }
        self.queue.schedule(0, Event::Report);
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / US_PER_MS)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(call) => self.arrive(call),
            Event::Iteration(replica) => self.advance_engine(replica),
            Event::Report => self.distribute_reports(),
            Event::Timer(node) => self.with_node(node, Node::tick),
            Event::ReclaimNotice(index) => self.notify_reclaim(&self.config.reclaims[index]),
            Event::Reclaim(index) => self.reclaim(&self.config.reclaims[index]),
            Event::Replacement(index) => self.replace(&self.config.reclaims[index]),
        }
    }

    fn arrive(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.prompt = Prompt::new(call.question.prompt().as_bytes());
        let request = Request {
            call: index,
            stream: call.stream,
            prefix: self.pool.prefix(&call.prompt),
        };
        let node = self.node_of(index);
        self.with_node(node, |node, now, commands| node.arrive(now, request, commands));
    }

    fn advance_engine(&mut self, replica: usize) {
        if self.pool.replicas[replica].phase == Phase::Reclaimed {
            return;
        }
        let mut outputs = std::mem::take(&mut self.outputs);
        self.pool.advance(self.now_us, replica, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Token { id, .. } => self.deliver_token(id as usize),
                Output::Done { id } => self.complete(id as usize),
            }
        }
        self.outputs = outputs;
        self.schedule_iteration(replica);
    }

    fn deliver_token(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.delivered += 1;
        call.dispatch_tokens += 1;
        call.first_token_us.get_or_insert(self.now_us);
        let Some(dispatch) = call.dispatch.filter(|_| call.dispatch_tokens == 1) else {
            return;
        };
        let node = self.node_of(index);
        self.with_node(node, |node, now, commands| {
            node.first_token(now, dispatch, commands);
        });
    }

    fn complete(&mut self, index: usize) {
        self.close_call(index, State::Answered);
        self.finish_dispatch(index, End::Complete);
    }

    fn close_call(&mut self, index: usize, state: State) {
        let call = &mut self.calls[index];
        if call.state == State::Open {
            call.state = state;
            self.open_calls -= 1;
        }
    }

    /// Notifies the call's node that the dispatch ended.
    fn finish_dispatch(&mut self, index: usize, end: End) {
        let Some(dispatch) = self.calls[index].dispatch.take() else {
            return;
        };
        let node = self.node_of(index);
        self.with_node(node, |node, now, commands| {
            node.finish(now, dispatch, end, commands);
        });
    }

    fn distribute_reports(&mut self) {
        let now = self.now();
        self.pool.record_reports(now);
        let changes = self.pool.take_changes();
        for node in 0..self.nodes.len() {
            for replica in 0..self.pool.replicas.len() {
                if self.pool.replicas[replica].phase != Phase::Live {
                    continue;
                }
                let report = *self.pool.replicas[replica].reports.visible_at(now);
                self.with_node(node, |node, now, commands| {
                    node.report(now, replica, report, commands);
                });
            }
            for change in &changes {
                self.with_node(node, |node, now, commands| {
                    node.update_prefix(now, change.replica, change.prefix, change.stored, commands);
                });
            }
        }
        self.queue
            .schedule(self.now_us + self.config.report_ms * US_PER_MS, Event::Report);
    }

    fn add_replica(&mut self, zone: &str) {
        let replica = self.pool.add(zone);
        for node in 0..self.nodes.len() {
            self.with_node(node, |node, now, commands| {
                node.add_replica(now, replica, zone, commands);
            });
        }
    }

    /// Runs an action on a node, executes the resulting commands and reschedules the node's timer.
    fn with_node<F>(&mut self, index: usize, action: F)
    where
        F: FnOnce(&mut Node, Millis, &mut Vec<Command>),
    {
        let now = self.now();
        let mut commands = std::mem::take(&mut self.commands);
        action(&mut self.nodes[index].node, now, &mut commands);
        for command in std::mem::take(&mut commands) {
            self.execute(index, command);
        }
        self.commands = commands;
        self.schedule_timer(index);
    }

    fn schedule_timer(&mut self, index: usize) {
        let slot = &mut self.nodes[index];
        let wake_us = slot
            .node
            .wake_at()
            .map(|wake| (wake.0 * US_PER_MS).max(self.now_us + 1));
        if wake_us != slot.timer_us {
            slot.timer_us = wake_us;
            if let Some(wake_us) = wake_us {
                self.queue.schedule(wake_us, Event::Timer(index));
            }
        }
    }

    fn execute(&mut self, node: usize, command: Command) {
        match command {
            Command::Dispatch(dispatch) => self.dispatch(dispatch),
            Command::Refuse { call } => self.close_call(call, State::Refused),
            Command::Cancel { id } => {
                let matches = |call: &Call| call.dispatch.is_some_and(|dispatch| dispatch.id == id);
                let found = (node..self.calls.len()).step_by(self.nodes.len());
                let found = found.into_iter().find(|index| matches(&self.calls[*index]));
                if let Some(index) = found {
                    self.cancel(index);
                }
            }
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        if self.pool.replicas[dispatch.replica].phase == Phase::Reclaimed {
            self.calls[dispatch.call].dispatch = Some(dispatch);
            return self.finish_dispatch(dispatch.call, End::Interrupted { tokens: 0 });
        }
        let call = &mut self.calls[dispatch.call];
        call.dispatch = Some(dispatch);
        call.dispatches += 1;
        call.dispatch_tokens = 0;
        let sequence = Sequence {
            id: dispatch.call as u64,
            prompt: call.prompt.clone(),
            resume_from: call.delivered,
            max_tokens: call.question.answer_tokens,
            priority: 0,
            imported: std::mem::take(&mut call.imported_tokens),
        };
        self.pool.submit(self.now_us, dispatch.replica, sequence);
        self.schedule_iteration(dispatch.replica);
    }

    fn cancel(&mut self, index: usize) {
        if let Some(dispatch) = self.calls[index].dispatch {
            self.pool.replicas[dispatch.replica].engine.cancel(index as u64);
        }
        self.finish_dispatch(index, End::Cancelled);
    }

    fn schedule_iteration(&mut self, replica: usize) {
        if let Some(due) = self.pool.replicas[replica].engine.next_due() {
            self.queue.schedule(due, Event::Iteration(replica));
        }
    }

    fn node_of(&self, call: usize) -> usize {
        call % self.nodes.len()
    }
}
