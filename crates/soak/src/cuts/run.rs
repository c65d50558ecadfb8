//! A run: startup, cuts under load, and the report.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use base::{Millis, Seed};
use futures::future::join_all;
use indexmap::IndexMap;
use serde_json::Value;
use standin::Link;
use standin::gated::{Addresses, Gated};
use tokio::time::{sleep, timeout};

use super::cluster::Cluster;
use super::load::Load;
use super::plan::Cut;
use super::report::{CONTACT_TIME, Comparison, MIN_RATIO, Try, Window, broken_promises};

/// Time within which all nodes must serve.
const STARTUP_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between two probes of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time under load before the first cut and after the last one.
const WARM_UP: Duration = Duration::from_secs(4);
const COOL_DOWN: Duration = Duration::from_secs(3);
/// Longest time that a request takes.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(11);
/// Labels with which the seeds of the plan and of the load are derived from the seed of the run.
const PLAN_LABEL: u64 = 1;
const LOAD_LABEL: u64 = 2;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Requests per second.
    pub rate: f64,
    /// The cuts.
    pub cut: Cut,
    /// Program of the nodes.
    pub program: PathBuf,
    /// Log directory.
    pub logs: PathBuf,
    /// Whether each second is printed.
    pub is_verbose: bool,
}

/// Runs the daemon on the platform, with all replicas at their registered ports on `host`.
pub fn run_node(host: IpAddr) -> ExitCode {
    entry::app::run(|settings| {
        let mut adapter = platform::assemble(settings)?;
        adapter.edge = Arc::new(Gated {
            inner: Arc::clone(&adapter.edge),
            addresses: Addresses::Host(host),
        });
        Ok(adapter)
    })
}

/// Makes the cuts and prints what became of the requests; returns whether enough were served, and no promise was broken.
pub async fn run(options: &Options) -> io::Result<bool> {
    std::fs::create_dir_all(&options.logs)?;
    let cluster = Cluster::start(&options.program, &options.logs, options.nodes, options.replicas).await?;
    let load = Load::new(&cluster.addresses);
    wait_until_served(&load, options.nodes).await?;
    let seed = Seed(options.seed);
    let sending = tokio::spawn(load.clone().send(seed.derive(LOAD_LABEL), options.rate));
    sleep(WARM_UP).await;
    let windows = make_cuts(&cluster, &load, options).await;
    sleep(COOL_DOWN).await;
    sending.abort();
    sleep(MAX_REQUEST_TIME).await;
    let tries = load.tries();
    let broken = broken_promises(&tries, &cluster.runs());
    cluster.finish();
    let mut has_passed = broken.is_empty();
    for window in &windows {
        has_passed &= report(options, window, &tries);
    }
    for promise in &broken {
        println!("  broken: {promise}");
    }
    print_logs(options)?;
    Ok(has_passed)
}

async fn wait_until_served(load: &Load, nodes: usize) -> io::Result<()> {
    let wait = |node: usize| async move {
        while !load.is_served(node).await {
            sleep(POLL_INTERVAL).await;
        }
    };
    let waited = timeout(STARTUP_TIMEOUT, join_all((0..nodes).map(wait))).await;
    waited
        .map(|_served| ())
        .map_err(|_elapsed| io::Error::other("not all nodes serve after the start"))
}

async fn make_cuts(cluster: &Cluster, load: &Load, options: &Options) -> Vec<Window> {
    let mut generator = Seed(options.seed).derive(PLAN_LABEL).generator();
    let mut windows = Vec::new();
    for number in 0..options.cut.cuts {
        if number > 0 {
            sleep(Duration::from_millis(options.cut.pause_ms)).await;
        }
        let nodes = options.cut.which.draw(options.nodes, &mut generator);
        let links = nodes
            .iter()
            .map(|_| options.cut.draw_links(options.replicas, &mut generator));
        let links: Vec<Vec<Link>> = links.collect();
        let began = load.clock.now();
        let cuts = nodes.iter().zip(&links).map(|(node, links)| {
            let mut links = links.iter().copied();
            cluster.set_links(*node, move || links.next().unwrap_or(Link::Open))
        });
        join_all(cuts).await;
        let cut_within = load.clock.now().since(began);
        println!(
            "cut {} of {} nodes within {} ms",
            nodes.len(),
            options.nodes,
            cut_within.0
        );
        sleep(Duration::from_secs(options.cut.seconds).saturating_sub(cut_within.as_duration())).await;
        let ended = load.clock.now();
        join_all(nodes.iter().map(|node| cluster.set_links(*node, || Link::Open))).await;
        windows.push(Window { nodes, began, ended });
    }
    windows
}

/// Prints what became of the requests during a cut; returns whether enough were served.
fn report(options: &Options, window: &Window, tries: &[Try]) -> bool {
    let length = window.ended.since(window.began);
    if options.is_verbose {
        for second in 0..length.0.div_ceil(1_000) {
            let began = window.began + Millis(second * 1_000);
            let second_window = Window {
                began,
                ended: began + Millis(1_000),
                ..window.clone()
            };
            let comparison = Comparison::new(&second_window, Millis::ZERO, tries);
            println!(
                "  second {second}: cut {}; others {:.3}",
                comparison.cut,
                comparison.others.share()
            );
        }
        for route in ["fragile", "stream", "unsafe", "safe"] {
            let of_class = tries.iter().filter(|it| it.class.route() == route);
            let comparison = Comparison::new(window, CONTACT_TIME, of_class);
            println!(
                "  {route}: cut {}; others {:.3}",
                comparison.cut,
                comparison.others.share()
            );
        }
    }
    let early = Comparison::new(window, Millis::ZERO, tries);
    let counted = Comparison::new(window, CONTACT_TIME.min(length), tries);
    println!(
        "  all: cut {}; others {}; ratio {:.3}",
        early.cut,
        early.others,
        early.ratio()
    );
    println!(
        "  counted: cut {}; others {}; ratio {:.3}",
        counted.cut,
        counted.others,
        counted.ratio()
    );
    length <= CONTACT_TIME || counted.ratio() >= MIN_RATIO
}

/// Prints the causes of failed dispatches and how often requests were sent, from the nodes' logs.
fn print_logs(options: &Options) -> io::Result<()> {
    let mut causes: IndexMap<String, usize> = IndexMap::new();
    let mut dispatches: HashMap<u64, usize> = HashMap::new();
    let mut cut_offs = 0;
    for number in 0..options.nodes {
        let text = std::fs::read_to_string(options.logs.join(format!("node-{number}.log")))?;
        for line in text
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        {
            match line["event"].as_str() {
                Some("dispatch failed") => {
                    let cause = line["cause"].as_str().unwrap_or("");
                    *causes.entry(cause.to_owned()).or_default() += 1;
                }
                Some("no replica can be reached") => cut_offs += 1,
                Some("request ended") => {
                    *dispatches
                        .entry(line["attempts"].as_u64().unwrap_or(0))
                        .or_default() += 1;
                }
                _ => {}
            }
        }
    }
    causes.sort_by(|_, left, _, right| right.cmp(left));
    println!("  cut off: logged {cut_offs} times");
    for (cause, count) in causes.iter().take(12) {
        println!("  dispatch failed: {count}x {cause}");
    }
    let mut dispatches: Vec<(u64, usize)> = dispatches.into_iter().collect();
    dispatches.sort_unstable();
    println!("  requests by dispatches: {dispatches:?}");
    Ok(())
}

/// Log directory of a run.
pub(crate) fn log_directory(parent: &Path, seed: u64) -> PathBuf {
    parent.join(format!("bilberrylatch-cuts-{}-{seed}", std::process::id()))
}
