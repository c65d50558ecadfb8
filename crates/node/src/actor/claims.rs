//! Idempotency keys at this node.

pub mod chosen;

use std::convert::Infallible;
use std::time::Duration;

use base::{Incarnation, Millis, Seed};
use claim::table::{Action, Event, Finish, Home};
use claim::{Answer, Binding, Call, Fingerprint, Handover, Key, Ledger, Secret, Table, ledger};
use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::message::{Context, Message};
use serde::Serialize;
use slotmap::SlotMap;
use tokio::sync::{mpsc, watch};

use crate::actor::ticker;
use crate::shared::Shared;
use clock::Clock;

/// Span between two ticks; claims are batched to about this precision.
const TICK: Duration = Duration::from_millis(10);

/// Messages that wait for one call: what to do, then its answer.
const DIRECTIVE_QUEUE: usize = 4;

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Secret that signs issued keys.
    pub secret: Secret,
    /// The process's clock.
    pub clock: Clock,
    /// Seed of random choices.
    pub seed: Seed,
    /// What the node's parts share, once it is complete.
    pub shared: watch::Receiver<Option<Shared>>,
}

/// A key under which a request runs at most once.
#[derive(Clone, Copy, Debug)]
pub enum IdempotencyKey {
    /// A key that this deployment issued.
    Issued(Key),
    /// A key that the caller chose.
    Chosen(ledger::Key),
}

/// What a call is told; `Run` and `Join` are followed by an `Answer`.
#[derive(Clone, Debug)]
pub enum Directive {
    /// The key that was asked for.
    Issued(Key),
    /// Run the request: this call is the one that may.
    Run(Call),
    /// The request runs already.
    Join,
    /// Send the request on to the node that knows the key.
    Forward(Incarnation),
    /// The end of the call.
    Answer(Answer),
}

/// Carries events of issued keys into the table, and of chosen keys into the ledger.
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

    /// Ends a call, and counts its reason if it is refused.
    fn answer(&mut self, call: Call, answer: Answer) {
        if let Answer::Refused(reason) = &answer {
            metrics::counter!("bilberrylatch_refusals_total", "reason" => reason.label()).increment(1);
        }
        self.finish(call, Directive::Answer(answer));
    }

    fn send(&self, call: Call, directive: Directive) {
        if let Some(sender) = self.calls.get(call) {
            // A caller that is gone needs no directive.
            let _gone = sender.try_send(directive);
        }
    }

    fn finish(&mut self, call: Call, directive: Directive) {
        self.send(call, directive);
        self.calls.remove(call);
    }
}

/// A call that was opened, with what it is told.
#[derive(Debug)]
pub struct OpenCall {
    /// The call.
    pub call: Call,
    /// What it is told.
    pub directives: mpsc::Receiver<Directive>,
}

/// Time passed.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

impl Message<Tick> for Claims {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Tick);
        self.ledger_step(ledger::Event::Tick);
        let usage = self.table.usage();
        metrics::gauge!("bilberrylatch_keys_running").set(usage.running as f64);
        metrics::gauge!("bilberrylatch_keys_ended").set(usage.ended as f64);
        metrics::gauge!("bilberrylatch_keys_bytes").set(usage.bytes as f64);
    }
}

/// Asks for a key.
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

/// A request with a key arrives.
#[derive(Clone, Debug)]
pub struct Arrive {
    /// The key as sent.
    pub key: Key,
    /// What the request is for.
    pub binding: Binding,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// What this node knows about the key's home.
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

/// The run asks to send; the reply says whether it may.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    /// The call that was told to run.
    pub call: Call,
    /// Its key.
    pub key: IdempotencyKey,
}

impl Message<Dispatch> for Claims {
    type Reply = bool;

    async fn handle(&mut self, dispatch: Dispatch, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.dispatch_granted = false;
        let call = dispatch.call;
        match dispatch.key {
            IdempotencyKey::Issued(key) => self.step(Event::Dispatch { call, key }),
            IdempotencyKey::Chosen(key) => self.ledger_step(ledger::Event::Dispatch { call, key }),
        }
        self.dispatch_granted
    }
}

/// The run ended.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The call that was told to run.
    pub call: Call,
    /// Its key.
    pub key: IdempotencyKey,
    /// How it ended.
    pub result: Finish,
}

impl Message<Finished> for Claims {
    type Reply = ();

    async fn handle(&mut self, finished: Finished, _context: &mut Context<Self, Self::Reply>) {
        let Finished { call, key, result } = finished;
        match key {
            IdempotencyKey::Issued(key) => self.step(Event::Finish { call, key, result }),
            IdempotencyKey::Chosen(key) => self.ledger_step(ledger::Event::Finish { call, key, result }),
        }
    }
}

/// Asks how many keys are held.
#[derive(Clone, Copy, Debug)]
pub struct CountKeys;

/// Keys that this node holds.
#[derive(Clone, Debug, Serialize)]
pub struct KeyCounts {
    /// This run of the node.
    pub node: String,
    /// Keys issued here whose request runs.
    pub issued_running: usize,
    /// Keys issued here whose request ended.
    pub issued_ended: usize,
    /// Keys taken over from nodes that stopped.
    pub taken_over: usize,
    /// Bytes of answers kept for issued keys.
    pub answer_bytes: usize,
    /// Claims of chosen keys that are known here, of all nodes.
    pub chosen_held: usize,
    /// Chosen keys that wait or run here.
    pub chosen_open: usize,
    /// Results of chosen keys that are not yet written.
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

/// The node stops: no key is issued and no run starts from here on.
#[derive(Clone, Copy, Debug)]
pub struct Drain;

impl Message<Drain> for Claims {
    type Reply = ();

    async fn handle(&mut self, _drain: Drain, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Drain);
        self.ledger_step(ledger::Event::Drain);
    }
}

/// Closes the table and asks for all that a peer needs, in pieces of about this many bytes.
#[derive(Clone, Copy, Debug)]
pub struct Export(pub usize);

impl Message<Export> for Claims {
    type Reply = Vec<Handover>;

    async fn handle(&mut self, export: Export, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.table.export(export.0)
    }
}

/// A peer hands its keys over.
#[derive(Clone, Debug)]
pub struct Import(pub Handover);

impl Message<Import> for Claims {
    type Reply = ();

    async fn handle(&mut self, import: Import, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Import(import.0));
    }
}
