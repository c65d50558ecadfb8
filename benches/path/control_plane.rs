//! What control costs a node that carries no requests.

use std::time::Duration;

use serde_json::Value;

use crate::deployment::Deployment;
use crate::process::Process;
use crate::usage::Usage;

/// Nodes in the fleets measured.
const FLEETS: [usize; 3] = [3, 6, 9];

/// Metrics: bytes of frames, and of UDP payload with what QUIC adds.
const FRAMES: &str = "bilberrylatch_peer_bytes_total";
const WIRE: &str = "bilberrylatch_peer_wire_bytes";

/// Time for a fleet to settle, and time measured.
const SETTLE: Duration = Duration::from_secs(8);
const MEASURED: Duration = Duration::from_secs(30);

/// Prints the table: means over the nodes.
pub async fn run() {
    println!(
        "\ncontrol without requests, mean of the nodes over {} s",
        MEASURED.as_secs()
    );
    println!(
        "{:>6} {:>10} {:>12} {:>14} {:>14} {:>18}",
        "nodes", "core %", "resident MB", "frame bytes/s", "UDP bytes/s", "kv calls/s (all)"
    );
    for size in FLEETS {
        let deployment = Deployment::start(size).await;
        tokio::time::sleep(SETTLE).await;
        let before: Vec<Usage> = deployment.nodes.iter().map(Usage::of).collect();
        let sent_before = sum(&deployment, FRAMES).await;
        let wire_before = sum(&deployment, WIRE).await;
        let calls_before = calls(&deployment).await;
        tokio::time::sleep(MEASURED).await;
        let after: Vec<Usage> = deployment.nodes.iter().map(Usage::of).collect();
        let percents = after
            .iter()
            .zip(&before)
            .map(|(after, before)| after.percent_since(before));
        let percent = percents.sum::<f64>() / size as f64;
        let memory =
            after.iter().map(|usage| usage.memory as f64).sum::<f64>() / size as f64 / (1024.0 * 1024.0);
        let rate = |before: f64, after: f64| (after - before) / size as f64 / MEASURED.as_secs_f64();
        let bytes = rate(sent_before, sum(&deployment, FRAMES).await);
        let wire = rate(wire_before, sum(&deployment, WIRE).await);
        let platform = (calls(&deployment).await - calls_before) / MEASURED.as_secs_f64();
        println!("{size:>6} {percent:>10.2} {memory:>12.1} {bytes:>14.0} {wire:>14.0} {platform:>18.1}");
    }
}

/// Sum of a metric over all nodes.
async fn sum(deployment: &Deployment, name: &str) -> f64 {
    let mut sum = 0.0;
    for node in &deployment.nodes {
        let text = metrics(deployment, node).await;
        let lines = text.lines().filter(|line| line.starts_with(name));
        sum += lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum::<f64>();
    }
    sum
}

async fn metrics(deployment: &Deployment, node: &Process) -> String {
    let response = deployment
        .client
        .get(format!("{}/metrics", node.url()))
        .send()
        .await
        .expect("metrics");
    response.text().await.expect("text")
}

/// Calls that the key-value service has counted, all kinds together.
async fn calls(deployment: &Deployment) -> f64 {
    let url = format!("{}/admin/counts", deployment.kv.url());
    let counts: Value = deployment
        .client
        .get(url)
        .send()
        .await
        .expect("counts")
        .json()
        .await
        .expect("JSON");
    let kinds = ["reads", "lists", "writes", "deletes", "leases", "watches"];
    kinds.iter().filter_map(|kind| counts[*kind].as_f64()).sum()
}
