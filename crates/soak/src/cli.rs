//! The command line of `bilberrylatch-soak`.

mod flags;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::{env, fs, io};

use base::{Millis, Seed};
use standin::Kv;
use standin::replica::registered;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use self::flags::{Again, BilberrylatchSoak, BilberrylatchSoakCmd, Cuts, Replica, Run, Store};
use crate::cuts::{self, Cut};
use crate::deployment::Programs;
use crate::finding::Finding;
use crate::plan::{Plan, Size};
use crate::run::{self, Options, Outcome};
use crate::upgrade::Upgrade;

/// Seeds that once revealed a violated guarantee, one per line, each with its cause.
const REGRESSION_SEEDS: &str = include_str!("../seeds.txt");
/// Default period in which faults begin, in seconds.
const DEFAULT_SECONDS: u64 = 12;
/// Default numbers of nodes, replicas and callers.
const DEFAULT_SIZE: Size = Size {
    nodes: 3,
    replicas: 6,
};
const DEFAULT_CALLERS: usize = 12;
/// Default size of a cluster whose nodes are cut off from replicas, and the load on it in requests per second.
const DEFAULT_CLUSTER: Size = Size {
    nodes: 71,
    replicas: 95,
};
const DEFAULT_RATE: f64 = 500.0;
/// Maximum number of such nodes: each has a loopback address of its own.
const MAX_CUT_NODES: usize = 200;
/// Nodes that are cut off by default, and the state of their links.
const DEFAULT_CUT: (&str, &str) = ("third", "silent");
/// Default duration of a cut in seconds.
const DEFAULT_CUT_SECONDS: u64 = 8;

/// Runs the subcommand given on the command line.
pub fn main() -> ExitCode {
    let flags = BilberrylatchSoak::from_env_or_exit();
    if let BilberrylatchSoakCmd::Node(flags) = &flags.subcommand {
        return cuts::run_node(flags.replicas_at);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(&error),
    };
    let result = match flags.subcommand {
        BilberrylatchSoakCmd::Run(flags) => runtime.block_on(run(&flags)),
        BilberrylatchSoakCmd::Again(flags) => runtime.block_on(again(&flags)),
        BilberrylatchSoakCmd::Cuts(flags) => runtime.block_on(cuts(&flags)),
        BilberrylatchSoakCmd::Node(_) => return ExitCode::FAILURE,
        BilberrylatchSoakCmd::Store(flags) => runtime.block_on(store(&flags)),
        BilberrylatchSoakCmd::Replica(flags) => runtime.block_on(replica(flags)),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => exit_with_error(&error),
    }
}

fn exit_with_error(error: &io::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

async fn store(flags: &Store) -> io::Result<bool> {
    let _store = Kv::start_at(flags.listen).await?;
    std::future::pending().await
}

async fn replica(flags: Replica) -> io::Result<bool> {
    let ephemeral = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = registered::Settings {
        id: flags.id,
        zone: flags.zone,
        listen: flags.listen.unwrap_or(ephemeral),
        reached_at: flags.reached_at,
        store: flags.store,
        seed: Seed(flags.seed),
    };
    registered::run(&settings).await?;
    Ok(true)
}

/// Cuts nodes off from replicas; returns whether they served enough and no promise was broken.
async fn cuts(flags: &Cuts) -> io::Result<bool> {
    let program = env::current_exe()?;
    let logs = flags.logs.clone().unwrap_or_else(env::temp_dir);
    let logs = cuts::log_directory(&logs, flags.seed);
    let which = flags.which.as_deref().unwrap_or(DEFAULT_CUT.0);
    let faults = flags.link.as_deref().unwrap_or(DEFAULT_CUT.1);
    let options = cuts::Options {
        seed: flags.seed,
        nodes: flags
            .nodes
            .unwrap_or(DEFAULT_CLUSTER.nodes)
            .clamp(1, MAX_CUT_NODES),
        replicas: flags.replicas.unwrap_or(DEFAULT_CLUSTER.replicas),
        rate: flags.rate.unwrap_or(DEFAULT_RATE),
        cut: Cut {
            which: which.parse().map_err(io::Error::other)?,
            faults: faults.parse().map_err(io::Error::other)?,
            reachable: flags.reachable.unwrap_or(0),
            seconds: flags.seconds.unwrap_or(DEFAULT_CUT_SECONDS),
            cuts: flags.cuts.unwrap_or(1),
            pause_ms: flags.pause_ms.unwrap_or(0),
        },
        program,
        logs,
        is_verbose: flags.verbose,
    };
    let has_passed = cuts::run(&options).await?;
    println!(
        "seed {}: {}",
        options.seed,
        if has_passed { "passed" } else { "failed" }
    );
    if has_passed {
        remove_logs(&options.logs);
    } else {
        println!("  logs: {}", options.logs.display());
    }
    Ok(has_passed)
}

/// Runs the seeds given by the flags; returns whether all guarantees held.
async fn run(flags: &Run) -> io::Result<bool> {
    let seeds = flags.seed..flags.seed + flags.count.unwrap_or(1);
    let options = seeds
        .map(|seed| options(flags, seed))
        .collect::<io::Result<Vec<Options>>>()?;
    run_all(options, flags.jobs, flags.untimed).await
}

/// Runs the seeds of `seeds.txt`; returns whether all guarantees held.
async fn again(flags: &Again) -> io::Result<bool> {
    let options = regression_seeds().map(|seed| {
        let run = Run {
            seed: seed?,
            logs: flags.logs.clone(),
            count: None,
            jobs: None,
            seconds: None,
            nodes: None,
            replicas: None,
            callers: None,
            daemon: None,
            earlier: None,
            untimed: false,
        };
        options(&run, run.seed)
    });
    run_all(options.collect::<io::Result<Vec<Options>>>()?, flags.jobs, false).await
}

/// Parses the seeds of `seeds.txt`: the first word of each line that is not a comment.
fn regression_seeds() -> impl Iterator<Item = io::Result<u64>> {
    let lines = REGRESSION_SEEDS
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.starts_with('#'));
    lines.map(|(index, line)| {
        let text = line.split_whitespace().next().unwrap_or("");
        let with_line = |error| io::Error::other(format!("seeds.txt, line {}: {text:?}: {error}", index + 1));
        text.parse().map_err(with_line)
    })
}

/// Executes runs, at most `jobs` at once; returns whether all guarantees held.
async fn run_all(run_options: Vec<Options>, jobs: Option<usize>, is_untimed: bool) -> io::Result<bool> {
    let permits = Arc::new(Semaphore::new(jobs.unwrap_or(1)));
    let mut runs = JoinSet::new();
    for options in run_options {
        let permits = Arc::clone(&permits);
        runs.spawn(async move {
            let _permit = permits.acquire().await.map_err(io::Error::other)?;
            let outcome = run::run(&options).await?;
            Ok::<bool, io::Error>(report(&options, outcome, is_untimed))
        });
    }
    let mut has_passed = true;
    let mut terminated = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    loop {
        let ended = tokio::select! {
            ended = runs.join_next() => ended,
            // Returning drops the runs, which kills every process that they started.
            _signal = terminated.recv() => return Err(io::ErrorKind::Interrupted.into()),
            _signal = interrupted.recv() => return Err(io::ErrorKind::Interrupted.into()),
        };
        let Some(ended) = ended else {
            return Ok(has_passed);
        };
        has_passed &= ended.map_err(io::Error::other)??;
    }
}

fn options(flags: &Run, seed: u64) -> io::Result<Options> {
    let soak = env::current_exe()?;
    let daemon = flags
        .daemon
        .clone()
        .unwrap_or_else(|| soak.with_file_name("bilberrylatchd"));
    let logs = flags.logs.clone().unwrap_or_else(env::temp_dir);
    let logs = logs.join(format!("bilberrylatch-soak-{}-{seed}", std::process::id()));
    Ok(Options {
        seed,
        length: Millis::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS)),
        size: Size {
            nodes: flags.nodes.unwrap_or(DEFAULT_SIZE.nodes).max(1),
            replicas: flags.replicas.unwrap_or(DEFAULT_SIZE.replicas).max(1),
        },
        callers: flags.callers.unwrap_or(DEFAULT_CALLERS),
        programs: Programs {
            daemon,
            earlier: flags.earlier.clone(),
            soak,
            logs,
        },
    })
}

/// Prints the result of a run. If a guarantee was violated, also prints the plan and keeps the logs.
fn report(options: &Options, outcome: Outcome, is_untimed: bool) -> bool {
    let is_counted = |finding: &Finding| !(is_untimed && finding.rule.is_timed());
    let (findings, uncounted): (Vec<Finding>, Vec<Finding>) =
        outcome.findings.into_iter().partition(is_counted);
    println!(
        "seed {}: {} requests, {} successes, {} executions, at most {} KiB a node, {} violated guarantees",
        options.seed,
        outcome.requests,
        outcome.successes,
        outcome.executions,
        outcome.peak_memory_kib,
        findings.len()
    );
    for finding in &uncounted {
        println!("  not counted because of --untimed: {finding}");
    }
    if findings.is_empty() && uncounted.is_empty() {
        remove_logs(&options.programs.logs);
        return true;
    }
    for finding in &findings {
        println!("  {finding}");
    }
    if options.programs.earlier.is_some() {
        println!("  {:?}", Upgrade::from_seed(options.seed, options.length));
    }
    for step in Plan::from_seed(options.seed, options.length, options.size).steps {
        println!("  plan: {step:?}");
    }
    println!("  logs: {}", options.programs.logs.display());
    findings.is_empty()
}

fn remove_logs(logs: &PathBuf) {
    if let Err(error) = fs::remove_dir_all(logs) {
        eprintln!("cannot remove the logs in {}: {error}", logs.display());
    }
}
