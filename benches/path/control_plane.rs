//! Measures the control-plane overhead of nodes that serve no requests.

use std::time::Duration;

use serde_json::Value;

use crate::deployment::Deployment;
use crate::process::Process;
use crate::usage::Usage;

/// Numbers of nodes for which the overhead is measured.
const NODE_COUNTS: [usize; 3] = [3, 6, 9];

/// Metrics of the bytes that a node sends to its peers: frames, and UDP payload including the overhead of QUIC.
const FRAME_BYTES_METRIC: &str = "bilberrylatch_peer_bytes_total";
const UDP_BYTES_METRIC: &str = "bilberrylatch_peer_wire_bytes";

/// Time for the nodes to settle after their start, and duration of the measurement.
const SETTLING_TIME: Duration = Duration::from_secs(8);
const MEASUREMENT_TIME: Duration = Duration::from_secs(30);

/// Prints the table of the overhead, as means over the nodes.
pub async fn run() {
    println!(
        "\ncontrol-plane overhead without requests, mean of the nodes over {} s",
        MEASUREMENT_TIME.as_secs()
    );
    println!(
        "{:>6} {:>10} {:>12} {:>14} {:>14} {:>18}",
        "nodes", "CPU %", "resident MB", "frame bytes/s", "UDP bytes/s", "kv calls/s (all)"
    );
    for node_count in NODE_COUNTS {
        let deployment = Deployment::start(node_count).await;
        tokio::time::sleep(SETTLING_TIME).await;
        let before: Vec<Usage> = deployment.nodes.iter().map(Usage::sample).collect();
        let frame_bytes_before = sum_metric(&deployment, FRAME_BYTES_METRIC).await;
        let udp_bytes_before = sum_metric(&deployment, UDP_BYTES_METRIC).await;
        let calls_before = count_kv_calls(&deployment).await;
        tokio::time::sleep(MEASUREMENT_TIME).await;
        let after: Vec<Usage> = deployment.nodes.iter().map(Usage::sample).collect();
        let cpu_percents = after
            .iter()
            .zip(&before)
            .map(|(after, before)| after.cpu_percent_since(before));
        let cpu_percent = cpu_percents.sum::<f64>() / node_count as f64;
        let resident_mb = after.iter().map(|usage| usage.resident_bytes as f64).sum::<f64>()
            / node_count as f64
            / (1024.0 * 1024.0);
        let rate_per_node =
            |before: f64, after: f64| (after - before) / node_count as f64 / MEASUREMENT_TIME.as_secs_f64();
        let frame_rate = rate_per_node(
            frame_bytes_before,
            sum_metric(&deployment, FRAME_BYTES_METRIC).await,
        );
        let udp_rate = rate_per_node(udp_bytes_before, sum_metric(&deployment, UDP_BYTES_METRIC).await);
        let kv_call_rate =
            (count_kv_calls(&deployment).await - calls_before) / MEASUREMENT_TIME.as_secs_f64();
        println!(
            "{node_count:>6} {cpu_percent:>10.2} {resident_mb:>12.1} {frame_rate:>14.0} {udp_rate:>14.0} \
             {kv_call_rate:>18.1}"
        );
    }
}

/// Sums a metric over all nodes.
async fn sum_metric(deployment: &Deployment, name: &str) -> f64 {
    let mut sum = 0.0;
    for node in &deployment.nodes {
        let text = fetch_metrics(deployment, node).await;
        let lines = text.lines().filter(|line| line.starts_with(name));
        sum += lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum::<f64>();
    }
    sum
}

async fn fetch_metrics(deployment: &Deployment, node: &Process) -> String {
    let response = deployment
        .client
        .get(format!("{}/metrics", node.url()))
        .send()
        .await
        .expect("the metrics should be readable");
    response.text().await.expect("the metrics should be text")
}

/// Returns the number of calls of all kinds that the key-value store has counted.
async fn count_kv_calls(deployment: &Deployment) -> f64 {
    let url = format!("{}/admin/counts", deployment.kv.url());
    let counts: Value = deployment
        .client
        .get(url)
        .send()
        .await
        .expect("the counts should be readable")
        .json()
        .await
        .expect("the counts should be JSON");
    let kinds = ["reads", "lists", "writes", "deletes", "leases", "watches"];
    kinds.iter().filter_map(|kind| counts[*kind].as_f64()).sum()
}
