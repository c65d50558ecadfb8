//! Idempotency keys at this node.

use std::convert::Infallible;

use base::{Incarnation, Millis};
use claim::table::{Action, Event, Finish, Home};
use claim::{Answer, Binding, Call, Fingerprint, Handover, Key, Secret, Table};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use slotmap::SlotMap;
use tokio::sync::mpsc;

use crate::clock::Clock;

/// Messages that wait for one call: what to do, then its answer.
const VERDICTS: usize = 4;

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Secret that signs issued keys.
    pub secret: Secret,
    /// The process's clock.
    pub clock: Clock,
}

/// What a call is told; `Run` and `Join` are followed by an `Answer`.
#[derive(Clone, Debug)]
pub enum Verdict {
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

/// Carries events of keys into the table.
#[derive(Debug)]
pub struct Claims {
    clock: Clock,
    table: Table,
    calls: SlotMap<Call, mpsc::Sender<Verdict>>,
    granted: bool,
}

impl Actor for Claims {
    type Args = Arguments;
    type Error = Infallible;

    async fn on_start(arguments: Self::Args, _actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Self {
            clock: arguments.clock,
            table: Table::new(arguments.incarnation, arguments.secret),
            calls: SlotMap::with_key(),
            granted: false,
        })
    }
}

impl Claims {
    fn now(&self) -> Millis {
        self.clock.now()
    }

    fn open(&mut self) -> Opened {
        let (sender, verdicts) = mpsc::channel(VERDICTS);
        let call = self.calls.insert(sender);
        Opened { call, verdicts }
    }

    fn step(&mut self, event: Event) {
        let now = self.now();
        for action in self.table.step(now, event) {
            self.carry(action);
        }
    }

    fn carry(&mut self, action: Action) {
        match action {
            Action::Issued { call, key } => self.last(call, Verdict::Issued(key)),
            Action::Run { call, .. } => self.tell(call, Verdict::Run(call)),
            Action::Join { call } => self.tell(call, Verdict::Join),
            Action::Forward { call, to } => self.last(call, Verdict::Forward(to)),
            Action::Dispatch { .. } => self.granted = true,
            Action::Halt { .. } => self.granted = false,
            Action::Answer { call, answer } => {
                if let Answer::Refused(reason) = &answer {
                    metrics::counter!("bilberrylatch_refusals_total", "reason" => reason.label())
                        .increment(1);
                }
                self.last(call, Verdict::Answer(answer));
            }
        }
    }

    fn tell(&self, call: Call, verdict: Verdict) {
        if let Some(sender) = self.calls.get(call) {
            // A caller that is gone needs no verdict.
            let _gone = sender.try_send(verdict);
        }
    }

    fn last(&mut self, call: Call, verdict: Verdict) {
        self.tell(call, verdict);
        self.calls.remove(call);
    }
}

/// A call that was opened, with what it is told.
#[derive(Debug)]
pub struct Opened {
    /// The call.
    pub call: Call,
    /// What it is told.
    pub verdicts: mpsc::Receiver<Verdict>,
}

/// Asks for a key.
#[derive(Clone, Debug)]
pub struct Issue(pub Binding);

impl Message<Issue> for Claims {
    type Reply = mpsc::Receiver<Verdict>;

    async fn handle(&mut self, issue: Issue, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let Opened { call, verdicts } = self.open();
        self.step(Event::Issue {
            call,
            binding: issue.0,
        });
        verdicts
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
    type Reply = mpsc::Receiver<Verdict>;

    async fn handle(&mut self, arrive: Arrive, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let Opened { call, verdicts } = self.open();
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
        verdicts
    }
}

/// The run asks to send; the reply says whether it may.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    /// The call that was told to run.
    pub call: Call,
    /// Its key.
    pub key: Key,
}

impl Message<Dispatch> for Claims {
    type Reply = bool;

    async fn handle(&mut self, dispatch: Dispatch, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.granted = false;
        self.step(Event::Dispatch {
            call: dispatch.call,
            key: dispatch.key,
        });
        self.granted
    }
}

/// The run ended.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The call that was told to run.
    pub call: Call,
    /// Its key.
    pub key: Key,
    /// How it ended.
    pub result: Finish,
}

impl Message<Finished> for Claims {
    type Reply = ();

    async fn handle(&mut self, finished: Finished, _context: &mut Context<Self, Self::Reply>) {
        let Finished { call, key, result } = finished;
        self.step(Event::Finish { call, key, result });
    }
}

/// The node stops: no key is issued and no run starts from here on.
#[derive(Clone, Copy, Debug)]
pub struct Seal;

impl Message<Seal> for Claims {
    type Reply = ();

    async fn handle(&mut self, _seal: Seal, _context: &mut Context<Self, Self::Reply>) {
        self.step(Event::Seal);
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
