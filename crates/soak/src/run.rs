//! One run: start, faults and load together, recovery, graceful end, checks.

mod notes;
mod steps;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::{Millis, Seed};
use clock::Clock;
use nix::sys::signal::Signal;
use standin::Faults;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use self::notes::Notes;
use crate::attempt::{Attempt, Key, Kind};
use crate::caller::{Load, Request};
use crate::check::{History, check};
use crate::deployment::{Deployment, Programs, has_panicked};
use crate::disruption::Cause;
use crate::finding::{Finding, Rule};
use crate::plan::{Plan, Size, Target};

/// Time after the last fault within which all nodes serve again: `recovery-s` of both sites.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time for all processes to be ready at the start.
const STARTUP: Duration = Duration::from_secs(30);
/// Successes in a row that show that a node serves.
const SUCCESSES: usize = 5;
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// How long the caller of a look waits.
const PATIENCE: Duration = Duration::from_secs(1);
/// Label of the callers among the parts that draw from a run's seed.
const CALLERS: u64 = 2;

/// What one run is like.
#[derive(Clone, Debug)]
pub struct Options {
    /// Decides all that is drawn.
    pub seed: u64,
    /// Time in which faults begin.
    pub length: Millis,
    /// Processes.
    pub size: Size,
    /// Callers that send one request after another.
    pub callers: usize,
    /// Programs and logs.
    pub programs: Programs,
}

/// What a run found, and how much it saw.
#[derive(Debug)]
pub struct Outcome {
    /// Broken promises.
    pub findings: Vec<Finding>,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered with success.
    pub successes: usize,
    /// Runs at replicas.
    pub runs: usize,
}

/// Plays the plan of a seed and checks what was seen.
pub async fn run(options: &Options) -> io::Result<Outcome> {
    std::fs::create_dir_all(&options.programs.logs)?;
    let run = Run::start(options).await?;
    run.wait_serving(STARTUP, "at the start").await;
    let (stop, stopped) = watch::channel(false);
    let callers = run.call(options, &stopped);
    let plan = Plan::from_seed(options.seed, options.length, options.size);
    run.play(&plan).await;
    run.calm().await?;
    run.wait_serving(RECOVERY, "after the last fault").await;
    run.end_nodes().await?;
    stop.send_replace(true);
    let _ended = callers.join_all().await;
    Ok(run.judge(options))
}

/// A deployment in which things go wrong, and what was seen.
#[derive(Clone, Debug)]
struct Run {
    deployment: Arc<Deployment>,
    load: Load,
    notes: Arc<Mutex<Notes>>,
    /// One at a time takes the API key away.
    key: Arc<tokio::sync::Mutex<()>>,
}

impl Run {
    async fn start(options: &Options) -> io::Result<Self> {
        let deployment = Deployment::start(&options.programs, options.size, options.seed).await?;
        for address in &deployment.listens {
            // One that does not listen is found when the nodes are asked whether they serve.
            let _listens = timeout(STARTUP, listening(*address)).await;
        }
        let clock = Clock::new();
        let load = Load {
            nodes: deployment.fronts.clone().into(),
            clock,
            start: clock.now(),
            attempts: Arc::default(),
        };
        Ok(Self {
            deployment: Arc::new(deployment),
            load,
            notes: Arc::default(),
            key: Arc::default(),
        })
    }

    fn call(&self, options: &Options, stopped: &watch::Receiver<bool>) -> JoinSet<()> {
        let seed = Seed(options.seed).derive(CALLERS);
        let mut callers = JoinSet::new();
        for number in 0..options.callers {
            let load = self.load.clone();
            callers.spawn(load.send_on(number, seed.derive(number as u64), stopped.clone()));
        }
        callers
    }

    /// Starts each fault at its time; they overlap. Ends when all are over.
    async fn play(&self, plan: &Plan) {
        let mut steps = JoinSet::new();
        let start = self.load.now();
        for step in &plan.steps {
            let (run, step) = (self.clone(), *step);
            steps.spawn(async move {
                let wait = (start.0 + step.at.0).saturating_sub(run.load.now().0);
                sleep(Duration::from_millis(wait)).await;
                run.step(step).await
            });
        }
        for ended in steps.join_all().await {
            if let Err(error) = ended {
                self.find(Rule::Recovery, format!("a fault could not be played: {error}"));
            }
        }
    }

    /// Ends all that still goes wrong, and starts what does not run.
    async fn calm(&self) -> io::Result<()> {
        self.deployment.calm();
        self.deployment.store.signal(Signal::SIGCONT);
        self.deployment.set_faults(Faults::default()).await;
        for member in self.deployment.members() {
            member.signal(Signal::SIGCONT);
            member.start()?;
        }
        Ok(())
    }

    /// Waits until every node has served a few requests in a row.
    async fn wait_serving(&self, time: Duration, when: &str) {
        let mut looks = JoinSet::new();
        for node in 0..self.deployment.nodes.len() {
            let load = self.load.clone();
            let when = when.to_owned();
            looks.spawn(async move {
                let served = timeout(time, serves(load, node, &when)).await;
                served.is_err().then_some(node)
            });
        }
        for node in looks.join_all().await.into_iter().flatten() {
            self.find(Rule::Recovery, format!("node {node} does not serve {when}"));
        }
    }

    /// Tells all nodes to end while callers go on.
    async fn end_nodes(&self) -> io::Result<()> {
        let mut ends = JoinSet::new();
        for number in 0..self.deployment.nodes.len() {
            let run = self.clone();
            ends.spawn(async move {
                let target = Target::Node(number);
                let from = run.load.now();
                let member = run.deployment.member(target);
                member.signal(Signal::SIGTERM);
                run.see_end(target, member, member.generation(), from).await?;
                // It is not started again: callers find nobody until the run is over.
                run.note(target, Cause::Terminated, from, Millis::NEVER);
                Ok(())
            });
        }
        ends.join_all().await.into_iter().collect()
    }

    fn judge(&self, options: &Options) -> Outcome {
        self.deployment.finish();
        let attempts: Vec<Attempt> = {
            let mut attempts = self.load.attempts.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *attempts)
        };
        let runs: HashMap<String, usize> = {
            let runs = self
                .deployment
                .runs
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            runs.clone()
        };
        let mut notes = self.notes();
        let mut findings = std::mem::take(&mut notes.findings);
        for number in 0..options.size.nodes {
            let log = options.programs.logs.join(format!("node-{number}.log"));
            if has_panicked(&log) {
                findings.push(Finding::new(Rule::Exit, format!("a panic in {}", log.display())));
            }
        }
        let history = History {
            attempts,
            runs,
            disruptions: std::mem::take(&mut notes.disruptions),
            revocations: std::mem::take(&mut notes.revocations),
        };
        findings.extend(check(&history));
        Outcome {
            findings,
            requests: history.attempts.len(),
            successes: history.attempts.iter().filter(|it| it.is_success()).count(),
            runs: history.runs.values().sum(),
        }
    }
}

/// Ends once an address takes connections.
async fn listening(address: SocketAddr) {
    while TcpStream::connect(address).await.is_err() {
        sleep(LOOK).await;
    }
}

/// Ends once a node has served a few requests in a row.
async fn serves(load: Load, node: usize, when: &str) {
    let mut successes = 0;
    let mut count = 0;
    while successes < SUCCESSES {
        count += 1;
        let id = format!("look-{node}-{count}-{}", when.len());
        let request = Request {
            id: id.clone(),
            kind: Kind::Safe,
            key: Key::First,
            node,
            patience: PATIENCE,
        };
        let _connection = load.send(None, request).await;
        successes = if load.has_succeeded(&id) { successes + 1 } else { 0 };
        sleep(LOOK).await;
    }
}
