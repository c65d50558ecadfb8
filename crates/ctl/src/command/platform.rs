//! `platform`: shows the metrics of nodes on the users' platform.

use std::env;
use std::time::Duration;

use futures::future;
use indexmap::IndexMap;
use serde::Serialize;

use crate::Error;
use crate::output::Output;
use crate::scrape::Samples;

/// Environment variable with the metrics addresses.
const ADDRESSES_VARIABLE: &str = "BILBERRYLATCH_METRICS";
/// Timeout of scraping one node.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(3);
/// Outcomes of requests that were answered by a replica.
const SERVED_OUTCOMES: [&str; 2] = ["answered", "streamed"];
/// Quantile that is shown of the times to the first event and to the whole answer.
const QUANTILE: f64 = 0.95;

/// Metrics of one node.
#[derive(Debug, Serialize)]
struct Node {
    metrics: String,
    /// Why the node could not be scraped.
    error: Option<String>,
    configuration: Option<f64>,
    /// Number of nodes that it knows, including itself.
    nodes: Option<f64>,
    /// Time since the view of the store was last known to be complete; infinite if it never was.
    view_age_ms: Option<f64>,
    waiting: Option<f64>,
    /// Requests by outcome.
    requests: IndexMap<String, f64>,
    /// Refusals by reason.
    refusals: IndexMap<String, f64>,
    /// Repeated dispatches by whether they were allowed: `true` or `false`.
    repeats: IndexMap<String, f64>,
    /// Upper bound of the histogram bucket with the 95th percentile, as for `request_p95_ms`.
    first_event_p95_ms: Option<f64>,
    request_p95_ms: Option<f64>,
    store_failures: Option<f64>,
    log_lines_dropped: Option<f64>,
    /// Replicas whose speed is known, by endpoint.
    known_speeds: IndexMap<String, f64>,
    /// Time per prompt token of the median replica in microseconds, by endpoint.
    prompt_token_us: IndexMap<String, f64>,
}

/// Scrapes the nodes at these metrics addresses and prints a row for each.
pub async fn run(addresses: Option<&str>, output: Output) -> Result<(), Error> {
    let addresses = match addresses {
        Some(addresses) => addresses.to_owned(),
        None => env::var(ADDRESSES_VARIABLE).map_err(|_unset| {
            Error::Usage(format!(
                "no metrics addresses; set --metrics IP:PORT,IP:PORT or {ADDRESSES_VARIABLE}"
            ))
        })?,
    };
    let client = reqwest::Client::builder()
        .timeout(SCRAPE_TIMEOUT)
        .no_proxy()
        .build();
    let client =
        client.map_err(|error| Error::Usage(format!("failed to create the HTTP client: {error}")))?;
    let addresses = addresses
        .split(',')
        .map(str::trim)
        .filter(|address| !address.is_empty());
    let nodes = future::join_all(addresses.map(|address| scrape_node(&client, address))).await;
    output.print_table(
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
            "SPEEDS",
        ],
        nodes.iter().map(row).collect(),
        &nodes,
    );
    match nodes.iter().find(|node| node.error.is_none()) {
        Some(_reachable) => Ok(()),
        None => Err(Error::Unreachable(format!(
            "queried {} metrics addresses",
            nodes.len()
        ))),
    }
}

async fn scrape_node(client: &reqwest::Client, address: &str) -> Node {
    match fetch(client, address).await {
        Ok(samples) => Node::new(address, &samples, None),
        Err(error) => Node::new(address, &Samples::default(), Some(error.to_string())),
    }
}

async fn fetch(client: &reqwest::Client, address: &str) -> Result<Samples, reqwest::Error> {
    let response = client.get(format!("http://{address}/metrics")).send().await?;
    let text = response.error_for_status()?.text().await?;
    Ok(Samples::parse(&text))
}

impl Node {
    fn new(address: &str, samples: &Samples, error: Option<String>) -> Self {
        let sum_by_label = |name: &str, label: &str| {
            let counts = samples.sum_by_label(name, label).into_iter();
            counts.map(|(label, count)| (label.to_owned(), count)).collect()
        };
        Self {
            metrics: address.to_owned(),
            error,
            configuration: samples.get("bilberrylatch_configuration_version"),
            nodes: samples.get("bilberrylatch_nodes"),
            view_age_ms: samples.get("bilberrylatch_view_age_ms"),
            waiting: samples.get("bilberrylatch_requests_waiting"),
            requests: sum_by_label("bilberrylatch_requests_total", "outcome"),
            refusals: sum_by_label("bilberrylatch_refusals_total", "reason"),
            repeats: sum_by_label("bilberrylatch_repeats_total", "allowed"),
            first_event_p95_ms: samples.quantile("bilberrylatch_first_event_ms", QUANTILE),
            request_p95_ms: samples.quantile("bilberrylatch_request_ms", QUANTILE),
            store_failures: samples.get("bilberrylatch_store_failures_total"),
            log_lines_dropped: samples.get("bilberrylatch_log_lines_dropped_total"),
            known_speeds: sum_by_label("bilberrylatch_replica_speeds_known", "endpoint"),
            prompt_token_us: sum_by_label("bilberrylatch_prompt_token_us", "endpoint"),
        }
    }

    /// Counts the requests that were answered by a replica, or those that were not.
    fn count_requests(&self, is_served: bool) -> f64 {
        let matching = self
            .requests
            .iter()
            .filter(|(outcome, _)| SERVED_OUTCOMES.contains(&outcome.as_str()) == is_served);
        matching.fold(0.0, |sum, (_, count)| sum + count)
    }
}

/// Replicas whose speed is known and the time per prompt token of the median one, by endpoint.
fn format_speeds(node: &Node) -> String {
    let speeds = node.known_speeds.iter().map(|(endpoint, known)| {
        let token_us = node.prompt_token_us.get(endpoint).copied().unwrap_or_default();
        format!("{endpoint} {known} ({token_us:.1} us)")
    });
    let speeds: Vec<String> = speeds.collect();
    if speeds.is_empty() {
        "-".to_owned()
    } else {
        speeds.join(", ")
    }
}

fn row(node: &Node) -> Vec<String> {
    if let Some(error) = &node.error {
        eprintln!("{}: {error}", node.metrics);
        return vec![node.metrics.clone(), "unreachable".to_owned()];
    }
    let format_number = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |value| value.to_string());
    let format_bound =
        |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |value| format!("<= {value} ms"));
    let refused = node.refusals.values().fold(0.0, |sum, count| sum + count);
    let reasons = node
        .refusals
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"));
    let reasons: Vec<String> = reasons.collect();
    vec![
        node.metrics.clone(),
        format_number(node.configuration),
        format_number(node.nodes),
        format_number(node.view_age_ms),
        format_number(node.waiting),
        node.count_requests(true).to_string(),
        node.count_requests(false).to_string(),
        if reasons.is_empty() {
            refused.to_string()
        } else {
            format!("{refused} ({})", reasons.join(", "))
        },
        format_number(node.repeats.get("true").copied()),
        format_bound(node.first_event_p95_ms),
        format_bound(node.request_p95_ms),
        format_number(node.store_failures),
        format_number(node.log_lines_dropped),
        format_speeds(node),
    ]
}
