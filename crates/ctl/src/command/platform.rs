//! `platform`: nodes on the users' platform, as their metrics tell.

use std::env;
use std::time::Duration;

use futures::future;
use indexmap::IndexMap;
use serde::Serialize;

use crate::Error;
use crate::output::Output;
use crate::scrape::Samples;

/// Variable that names the metrics addresses.
const VARIABLE: &str = "BILBERRYLATCH_METRICS";
/// Time for one node's answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Outcomes of requests that a replica answered.
const SERVED: [&str; 2] = ["answered", "streamed"];
/// Part of the first events and of the answers whose time is shown.
const SHOWN: f64 = 0.95;

/// What one node tells.
#[derive(Debug, Serialize)]
struct Node {
    metrics: String,
    /// Why it told nothing.
    error: Option<String>,
    configuration: Option<f64>,
    /// Nodes that it knows, itself included.
    nodes: Option<f64>,
    /// Time since the view of the store was last shown to be complete; infinite before the first time.
    view_age_ms: Option<f64>,
    waiting: Option<f64>,
    /// Requests by outcome.
    requests: IndexMap<String, f64>,
    /// Refusals by reason.
    refusals: IndexMap<String, f64>,
    /// Repeated dispatches that were made or not allowed.
    repeats: IndexMap<String, f64>,
    /// Upper bounds, in milliseconds.
    first_event_p95_ms: Option<f64>,
    request_p95_ms: Option<f64>,
    store_failures: Option<f64>,
    log_lines_dropped: Option<f64>,
}

/// Asks the nodes at these metrics addresses and shows what they tell.
pub async fn run(addresses: Option<&str>, output: Output) -> Result<(), Error> {
    let addresses = match addresses {
        Some(addresses) => addresses.to_owned(),
        None => env::var(VARIABLE).map_err(|_unset| {
            Error::Usage(format!(
                "no metrics addresses; give --metrics IP:PORT,IP:PORT or set {VARIABLE}"
            ))
        })?,
    };
    let client = reqwest::Client::builder().timeout(TIMEOUT).no_proxy().build();
    let client = client.map_err(|error| Error::Usage(format!("HTTP client: {error}")))?;
    let addresses = addresses.split(',').map(str::trim).filter(|it| !it.is_empty());
    let nodes = future::join_all(addresses.map(|address| node(&client, address))).await;
    output.table(
        &[
            "METRICS",
            "CONFIG",
            "NODES",
            "VIEW MS",
            "WAITING",
            "SERVED",
            "FAILED",
            "REFUSED",
            "REPEATS",
            "FIRST P95",
            "ANSWER P95",
            "STORE",
            "DROPPED",
        ],
        nodes.iter().map(row).collect(),
        &nodes,
    );
    match nodes.iter().find(|node| node.error.is_none()) {
        Some(_one) => Ok(()),
        None => Err(Error::Unreachable(format!(
            "asked {} metrics addresses",
            nodes.len()
        ))),
    }
}

async fn node(client: &reqwest::Client, address: &str) -> Node {
    match scrape(client, address).await {
        Ok(samples) => Node::new(address, &samples, None),
        Err(error) => Node::new(address, &Samples::default(), Some(error.to_string())),
    }
}

async fn scrape(client: &reqwest::Client, address: &str) -> Result<Samples, reqwest::Error> {
    let answer = client.get(format!("http://{address}/metrics")).send().await?;
    let text = answer.error_for_status()?.text().await?;
    Ok(Samples::new(&text))
}

impl Node {
    fn new(address: &str, samples: &Samples, error: Option<String>) -> Self {
        let owned = |name: &str, label: &str| {
            let counts = samples.by_label(name, label).into_iter();
            counts.map(|(label, count)| (label.to_owned(), count)).collect()
        };
        Self {
            metrics: address.to_owned(),
            error,
            configuration: samples.get("bilberrylatch_configuration_version"),
            nodes: samples.get("bilberrylatch_nodes"),
            view_age_ms: samples.get("bilberrylatch_view_age_ms"),
            waiting: samples.get("bilberrylatch_requests_waiting"),
            requests: owned("bilberrylatch_requests_total", "outcome"),
            refusals: owned("bilberrylatch_refusals_total", "reason"),
            repeats: owned("bilberrylatch_repeats_total", "allowed"),
            first_event_p95_ms: samples.quantile("bilberrylatch_first_event_ms", SHOWN),
            request_p95_ms: samples.quantile("bilberrylatch_request_ms", SHOWN),
            store_failures: samples.get("bilberrylatch_store_failures_total"),
            log_lines_dropped: samples.get("bilberrylatch_log_lines_dropped_total"),
        }
    }

    /// Requests by whether they ended with a replica's answer.
    fn ended(&self, is_served: bool) -> f64 {
        let mine = self
            .requests
            .iter()
            .filter(|(outcome, _)| SERVED.contains(&outcome.as_str()) == is_served);
        mine.fold(0.0, |sum, (_, count)| sum + count)
    }
}

fn row(node: &Node) -> Vec<String> {
    if let Some(error) = &node.error {
        eprintln!("{}: {error}", node.metrics);
        return vec![node.metrics.clone(), "unreachable".to_owned()];
    }
    let number = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |value| value.to_string());
    let bound = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |value| format!("<= {value} ms"));
    let refused = node.refusals.values().fold(0.0, |sum, count| sum + count);
    let reasons = node
        .refusals
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"));
    let reasons: Vec<String> = reasons.collect();
    vec![
        node.metrics.clone(),
        number(node.configuration),
        number(node.nodes),
        number(node.view_age_ms),
        number(node.waiting),
        node.ended(true).to_string(),
        node.ended(false).to_string(),
        if reasons.is_empty() {
            refused.to_string()
        } else {
            format!("{refused} ({})", reasons.join(", "))
        },
        number(node.repeats.get("true").copied()),
        bound(node.first_event_p95_ms),
        bound(node.request_p95_ms),
        number(node.store_failures),
        number(node.log_lines_dropped),
    ]
}
