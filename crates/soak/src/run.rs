//! A run: startup, fault injection under load, recovery, graceful shutdown and checks.

mod journal;
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

use self::journal::Journal;
use crate::attempt::{Attempt, Key, Kind};
use crate::caller::{Request, Workload};
use crate::check::{History, check};
use crate::deployment::{Deployment, Programs, has_panicked};
use crate::disruption::Cause;
use crate::finding::{Finding, Rule};
use crate::plan::{Plan, Size, Target};
use crate::process::Status;
use crate::upgrade::{Build, Upgrade};

/// Time after the last fault within which all nodes must serve again: `recovery-s` of both sites.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time within which all processes must be ready at the start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
/// Consecutive successes after which a node counts as serving.
const REQUIRED_SUCCESSES: usize = 5;
/// Interval between two probes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a run has certainly ended.
const MAX_TIME: Duration = Duration::from_hours(1);
/// Label with which the callers' seed is derived from the seed of the run.
const CALLER_SEED_LABEL: u64 = 2;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Period in which faults begin.
    pub length: Millis,
    /// Numbers of nodes and replicas.
    pub size: Size,
    /// Number of callers, each of which sends one request at a time.
    pub callers: usize,
    /// Paths of the programs and of the logs.
    pub programs: Programs,
}

/// Findings and totals of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Violated guarantees.
    pub findings: Vec<Finding>,
    /// Number of requests.
    pub requests: usize,
    /// Number of requests answered with success.
    pub successes: usize,
    /// Number of executions at replicas.
    pub executions: usize,
    /// Largest peak memory of a node, in KiB.
    pub peak_memory_kib: u64,
}

/// Injects the faults that the seed determines and checks the outcome.
pub async fn run(options: &Options) -> io::Result<Outcome> {
    std::fs::create_dir_all(&options.programs.logs)?;
    let run = Run::start(options).await?;
    let store = &run.deployment.store;
    tokio::select! {
        outcome = run.play(options) => outcome,
        status = store.wait(store.generation(), MAX_TIME) => Err(unexpected_end(status?)),
    }
}

fn unexpected_end(status: Status) -> io::Error {
    io::Error::other(format!(
        "the stand-in for the store ended ({status:?}); its log tells why"
    ))
}

/// A deployment under fault injection, its workload, and the journal of the run.
#[derive(Clone, Debug)]
struct Run {
    deployment: Arc<Deployment>,
    workload: Workload,
    journal: Arc<Mutex<Journal>>,
    /// Serializes the faults that revoke the API key.
    key: Arc<tokio::sync::Mutex<()>>,
}

impl Run {
    async fn start(options: &Options) -> io::Result<Self> {
        let deployment = Deployment::start(&options.programs, options.size, options.seed).await?;
        for address in &deployment.listen_addresses {
            // A node that does not listen is detected by `wait_serving`.
            let _listens = timeout(STARTUP_TIMEOUT, wait_for_listener(*address)).await;
        }
        let clock = Clock::new();
        let workload = Workload {
            nodes: deployment.proxy_addresses.clone().into(),
            clock,
            start: clock.now(),
            attempts: Arc::default(),
        };
        Ok(Self {
            deployment: Arc::new(deployment),
            workload,
            journal: Arc::default(),
            key: Arc::default(),
        })
    }

    async fn play(&self, options: &Options) -> io::Result<Outcome> {
        self.wait_serving(STARTUP_TIMEOUT, "at the start").await;
        let (stop, stopped) = watch::channel(false);
        let callers = self.start_callers(options, &stopped);
        let plan = Plan::from_seed(options.seed, options.length, options.size);
        let upgrade = Upgrade::from_seed(options.seed, options.length);
        tokio::join!(self.inject_all(&plan), self.upgrade(options, &upgrade));
        self.clear_faults().await?;
        self.wait_serving(RECOVERY_TIMEOUT, "after the last fault").await;
        let peak_memory_kib = self.peak_memory_kib();
        self.terminate_nodes().await?;
        stop.send_replace(true);
        let _results = callers.join_all().await;
        Ok(self.evaluate(options, peak_memory_kib))
    }

    fn start_callers(&self, options: &Options, stopped: &watch::Receiver<bool>) -> JoinSet<()> {
        let seed = Seed(options.seed).derive(CALLER_SEED_LABEL);
        let mut callers = JoinSet::new();
        for number in 0..options.callers {
            let workload = self.workload.clone();
            callers.spawn(workload.send_until_stopped(number, seed.derive(number as u64), stopped.clone()));
        }
        callers
    }

    /// Injects each fault at its time and waits until all have ended. Faults overlap.
    async fn inject_all(&self, plan: &Plan) {
        let mut steps = JoinSet::new();
        let start = self.workload.now();
        for step in &plan.steps {
            let (run, step) = (self.clone(), *step);
            steps.spawn(async move {
                let wait = (start.0 + step.at.0).saturating_sub(run.workload.now().0);
                sleep(Duration::from_millis(wait)).await;
                run.inject(step).await
            });
        }
        for ended in steps.join_all().await {
            if let Err(error) = ended {
                self.report(Rule::Recovery, format!("fault injection failed: {error}"));
            }
        }
    }

    /// Moves the nodes from the earlier build to the current one, if there is an earlier one.
    async fn upgrade(&self, options: &Options, upgrade: &Upgrade) {
        let Some(earlier) = &options.programs.earlier else {
            return;
        };
        sleep(upgrade.at.as_duration()).await;
        for (node, build) in upgrade.steps(self.deployment.nodes.len()) {
            let program = match build {
                Build::Earlier => earlier,
                Build::Current => &options.programs.daemon,
            };
            self.deployment.nodes[node].set_program(program.clone());
            if let Err(error) = self.terminate(Target::Node(node), Duration::ZERO).await {
                self.report(Rule::Recovery, format!("upgrade of node {node} failed: {error}"));
            }
            sleep(upgrade.pause.as_duration()).await;
        }
    }

    /// Ends all remaining faults and starts the processes that are not running.
    async fn clear_faults(&self) -> io::Result<()> {
        self.deployment.clear_impairments();
        self.deployment.store.signal(Signal::SIGCONT);
        self.deployment.set_faults(Faults::default()).await;
        for process in self.deployment.processes() {
            process.signal(Signal::SIGCONT);
            process.start()?;
        }
        Ok(())
    }

    /// Waits until every node has served [`REQUIRED_SUCCESSES`] consecutive requests; reports the nodes that fail to.
    ///
    /// The ids of the probes of two calls differ only if the lengths of `when` differ.
    async fn wait_serving(&self, limit: Duration, when: &str) {
        let mut probes = JoinSet::new();
        for node in 0..self.deployment.nodes.len() {
            let workload = self.workload.clone();
            let when = when.to_owned();
            probes.spawn(async move {
                let served = timeout(limit, wait_for_successes(workload, node, &when)).await;
                served.is_err().then_some(node)
            });
        }
        for node in probes.join_all().await.into_iter().flatten() {
            self.report(Rule::Recovery, format!("node {node} does not serve {when}"));
        }
    }

    /// Sends SIGTERM to all nodes while callers keep sending requests.
    async fn terminate_nodes(&self) -> io::Result<()> {
        let mut exits = JoinSet::new();
        for number in 0..self.deployment.nodes.len() {
            let run = self.clone();
            exits.spawn(async move {
                let target = Target::Node(number);
                let from = run.workload.now();
                let process = run.deployment.process(target);
                process.signal(Signal::SIGTERM);
                run.wait_for_exit(target, process, process.generation(), from)
                    .await?;
                // The node is not restarted, so callers cannot reach it until the run is over.
                run.record(target, Cause::Terminated, from, Millis::NEVER);
                Ok(())
            });
        }
        exits.join_all().await.into_iter().collect()
    }

    /// Peak memory of the nodes that are running.
    fn peak_memory_kib(&self) -> Vec<u64> {
        let nodes = self.deployment.nodes.iter();
        nodes.map(|node| node.peak_memory_kib().unwrap_or(0)).collect()
    }

    fn evaluate(&self, options: &Options, peak_memory_kib: Vec<u64>) -> Outcome {
        self.deployment.finish();
        let attempts: Vec<Attempt> = {
            let mut attempts = self
                .workload
                .attempts
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *attempts)
        };
        let executions: HashMap<String, usize> = {
            let executions = self
                .deployment
                .executions
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            executions.clone()
        };
        let mut journal = self.journal();
        let mut findings = std::mem::take(&mut journal.findings);
        for number in 0..options.size.nodes {
            let log = options.programs.logs.join(format!("node-{number}.log"));
            if has_panicked(&log) {
                findings.push(Finding::new(
                    Rule::Exit,
                    format!("panic logged in {}", log.display()),
                ));
            }
        }
        let history = History {
            attempts,
            executions,
            disruptions: std::mem::take(&mut journal.disruptions),
            revocations: std::mem::take(&mut journal.revocations),
            peak_memory_kib,
        };
        findings.extend(check(&history));
        Outcome {
            findings,
            requests: history.attempts.len(),
            successes: history.attempts.iter().filter(|it| it.is_success()).count(),
            executions: history.executions.values().sum(),
            peak_memory_kib: history.peak_memory_kib.iter().copied().max().unwrap_or(0),
        }
    }
}

/// Waits until an address accepts connections.
async fn wait_for_listener(address: SocketAddr) {
    while TcpStream::connect(address).await.is_err() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a node has served [`REQUIRED_SUCCESSES`] consecutive requests.
async fn wait_for_successes(workload: Workload, node: usize, when: &str) {
    let mut successes = 0;
    let mut count = 0;
    while successes < REQUIRED_SUCCESSES {
        count += 1;
        let id = format!("look-{node}-{count}-{}", when.len());
        let request = Request {
            id: id.clone(),
            kind: Kind::Safe,
            key: Key::First,
            node,
            patience: PROBE_TIMEOUT,
        };
        let _connection = workload.send(None, request).await;
        successes = if workload.has_succeeded(&id) {
            successes + 1
        } else {
            0
        };
        sleep(POLL_INTERVAL).await;
    }
}
