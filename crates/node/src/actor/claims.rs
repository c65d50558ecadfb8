//! Actor for the idempotency keys of this node.

pub mod chosen;

use std::convert::Infallible;
use std::time::Duration;

use base::{Incarnation, Millis, Seed};
use claim::table::{Action, Event, Finish, Home};
use claim::{Answer, Binding, Call, Fingerprint, Handover, Key, Ledger, Secret, Table, ledger};
use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::message::{Context, Message};
use member::config::Refusal;
use serde::Serialize;
use slotmap::SlotMap;
use tokio::sync::{mpsc, watch};

use crate::actor::ticker;
use crate::shared::Shared;
use clock::Clock;

/// Interval between ticks; also the approximate granularity of claim batches.
const TICK: Duration = Duration::from_millis(10);

/// Capacity of a call's channel, which carries its directives and then its answer.
const DIRECTIVE_QUEUE: usize = 4;

/// Arguments for starting the actor.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Incarnation of this node.
    pub incarnation: Incarnation,
    /// Secret for signing issued keys.
    pub secret: Secret,
    /// Clock of the process.
    pub clock: Clock,
    /// Seed for random choices.
    pub seed: Seed,
    /// Handles to the other components; `None` until all of them exist.
    pub shared: watch::Receiver<Option<Shared>>,
}

/// Idempotency key; a request with a key runs at most once.
#[derive(Clone, Copy, Debug)]
pub enum IdempotencyKey {
    /// Key issued by this deployment.
    Issued(Key),
    /// Key chosen by the caller.
    Chosen(ledger::Key),
}

/// Instruction to a call. `Run` and `Join` are followed by `Answer`.
#[derive(Clone, Debug)]
pub enum Directive {
    /// The issued key.
    Issued(Key),
    /// Run the request; no other call may run it.
    Run(Call),
    /// Wait for the request, which another call is running.
    Join,
    /// Forward the request to the node that holds the key.
    Forward(Incarnation),
    /// The call's final answer.
    Answer(Answer),
}

/// Drives the table of issued keys and the ledger of chosen keys.
#[derive(Debug)]
pub struct Claims {
    clock: Clock,
    table: Table,
    ledger: Ledger,
    shared: watch::Receiver<Option<Shared>>,
    self_ref: WeakActorRef<Self>,
    calls: SlotMap<Call, mpsc::Sender<Directive>>,
    dispatch_granted: bool,
}

impl Actor for Claims {
    type Args = Arguments;
    type Error = Infallible;

    async fn on_start(arguments: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        ticker::start(&actor, TICK, Tick);
        Ok(Self {
            clock: arguments.clock,
            table: Table::new(arguments.incarnation, arguments.secret),
            ledger: Ledger::new(arguments.incarnation, arguments.seed),
            shared: arguments.shared,
            self_ref: actor.downgrade(),
            calls: SlotMap::with_key(),
            dispatch_granted: false,
        })
    }
}

impl Claims {
    fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether runs of issued keys may start. After a pause, requests that peers forwarded before it are still in the
    /// socket's buffer, while other nodes may have declared this one gone and told callers that the key won't run.
    fn may_dispatch(&self) -> bool {
        let now = self.now();
        let shared = self.shared.borrow();
        let serving = shared.as_ref().map(|shared| shared.serving.borrow().at(now));
        !matches!(serving, None | Some(Err(Refusal::Fenced | Refusal::Syncing)))
    }

    fn open(&mut self) -> OpenCall {
        let (sender, directives) = mpsc::channel(DIRECTIVE_QUEUE);
        let call = self.calls.insert(sender);
        OpenCall { call, directives }
    }

    fn step(&mut self, event: Event) {
        let now = self.now();
        for action in self.table.step(now, event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Issued { call, key } => self.finish(call, Directive::Issued(key)),
            Action::Run { call, .. } => self.send(call, Directive::Run(call)),
            Action::Join { call } => self.send(call, Directive::Join),
            Action::Forward { call, to } => self.finish(call, Directive::Forward(to)),
            Action::DispatchGranted { .. } => self.dispatch_granted = true,
            Action::DispatchDenied { .. } => self.dispatch_granted = false,
            Action::Answer { call, answer } => self.answer(call, answer),
        }
    }

    /// Ends a call with its answer, and counts refusals by reason.
    fn answer(&mut self, call: Call, answer: Answer) {
        if let Answer::Refused(reason) = &answer {
            metrics::counter!("bilberrylatch_refusals_total", "reason" => reason.label()).increment(1);
        }
        self.finish(call, Directive::Answer(answer));
    }

    fn send(&self, call: Call, directive: Directive) {
        if let Some(sender) = self.calls.get(call) {
            // A disconnected caller needs no directive.
            let _gone = sender.try_send(directive);
        }
    }

    fn finish(&mut self, call: Call, directive: Directive) {
        self.send(call, directive);
        self.calls.remove(call);
    }
}

/// A new call and the receiver of its directives.
#[derive(Debug)]
pub struct OpenCall {
    /// Id of the call.
    pub call: Call,
    /// Receiver of its directives.
    pub directives: mpsc::Receiver<Directive>,
}

/// Timer tick.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

impl Message<Tick> for Claims {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Tick);
        self.step_ledger(ledger::Event::Tick);
        let usage = self.table.usage();
        metrics::gauge!("bilberrylatch_keys_running").set(usage.running as f64);
        metrics::gauge!("bilberrylatch_keys_ended").set(usage.ended as f64);
        metrics::gauge!("bilberrylatch_keys_bytes").set(usage.bytes as f64);
    }
}

/// Requests a new key.
#[derive(Clone, Debug)]
pub struct Issue(pub Binding);

impl Message<Issue> for Claims {
    type Reply = mpsc::Receiver<Directive>;

    async fn handle(&mut self, issue: Issue, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let OpenCall { call, directives } = self.open();
        self.step(Event::Issue {
            call,
            binding: issue.0,
        });
        directives
    }
}

/// Registers a request that carries an issued key.
#[derive(Clone, Debug)]
pub struct Arrive {
    /// Key sent by the caller.
    pub key: Key,
    /// Endpoint and workspace of the request.
    pub binding: Binding,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// State of the key's home node, as known here.
    pub home: Home,
}

impl Message<Arrive> for Claims {
    type Reply = mpsc::Receiver<Directive>;

    async fn handle(&mut self, arrive: Arrive, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let OpenCall { call, directives } = self.open();
        let Arrive {
            key,
            binding,
            fingerprint,
            home,
        } = arrive;
        self.step(Event::Arrive {
            call,
            key,
            binding,
            fingerprint,
            home,
        });
        directives
    }
}

/// Requests permission to dispatch; replies whether it is granted.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    /// Call that received [`Directive::Run`].
    pub call: Call,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
}

impl Message<Dispatch> for Claims {
    type Reply = bool;

    async fn handle(&mut self, dispatch: Dispatch, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.dispatch_granted = false;
        let call = dispatch.call;
        match dispatch.key {
            IdempotencyKey::Issued(key) => {
                if !self.may_dispatch() {
                    let result = Finish::NotRun;
                    self.step(Event::Finish { call, key, result });
                }
                self.step(Event::Dispatch { call, key });
            }
            IdempotencyKey::Chosen(key) => self.step_ledger(ledger::Event::Dispatch { call, key }),
        }
        self.dispatch_granted
    }
}

/// Reports that the run of a request ended.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Call that received [`Directive::Run`].
    pub call: Call,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
    /// The result.
    pub result: Finish,
}

impl Message<Finished> for Claims {
    type Reply = ();

    async fn handle(&mut self, finished: Finished, _context: &mut Context<Self, Self::Reply>) {
        let Finished { call, key, result } = finished;
        match key {
            IdempotencyKey::Issued(key) => self.step(Event::Finish { call, key, result }),
            IdempotencyKey::Chosen(key) => self.step_ledger(ledger::Event::Finish { call, key, result }),
        }
    }
}

/// Queries the number of keys held by this node.
#[derive(Clone, Copy, Debug)]
pub struct CountKeys;

/// Numbers of keys held by this node.
#[derive(Clone, Debug, Serialize)]
pub struct KeyCounts {
    /// Incarnation of the node.
    pub node: String,
    /// Keys issued here whose request is running.
    pub issued_running: usize,
    /// Keys issued here whose request has ended.
    pub issued_ended: usize,
    /// Keys taken over from stopped nodes.
    pub taken_over: usize,
    /// Size of the answers stored for issued keys, in bytes.
    pub answer_bytes: usize,
    /// Known claims of chosen keys, across all nodes.
    pub chosen_held: usize,
    /// Chosen keys whose request is waiting or running here.
    pub chosen_open: usize,
    /// Results of chosen keys that have not been written to the store.
    pub chosen_unwritten: usize,
}

impl Message<CountKeys> for Claims {
    type Reply = Result<KeyCounts, Infallible>;

    async fn handle(&mut self, _count: CountKeys, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let table = self.table.usage();
        let ledger = self.ledger.usage();
        Ok(KeyCounts {
            node: self.table.home().to_string(),
            issued_running: table.running,
            issued_ended: table.ended,
            taken_over: table.imported,
            answer_bytes: table.bytes,
            chosen_held: ledger.claims,
            chosen_open: ledger.open,
            chosen_unwritten: ledger.unwritten,
        })
    }
}

/// Stops issuing keys and starting runs, because the node is stopping.
#[derive(Clone, Copy, Debug)]
pub struct Drain;

impl Message<Drain> for Claims {
    type Reply = ();

    async fn handle(&mut self, _drain: Drain, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Drain);
        self.step_ledger(ledger::Event::Drain);
    }
}

/// Closes the table and exports its contents for a peer.
#[derive(Clone, Copy, Debug)]
pub struct Export {
    /// Approximate size of a piece, in bytes.
    pub piece_bytes: usize,
    /// Whether other nodes may have declared this node gone.
    pub fenced: bool,
}

impl Message<Export> for Claims {
    type Reply = Vec<Handover>;

    async fn handle(&mut self, export: Export, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        if export.fenced {
            self.step(Event::Fenced);
        }
        self.table.export(export.piece_bytes)
    }
}

/// Imports keys handed over by a peer.
#[derive(Clone, Debug)]
pub struct Import(pub Handover);

impl Message<Import> for Claims {
    type Reply = ();

    async fn handle(&mut self, import: Import, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Import(import.0));
    }
}
