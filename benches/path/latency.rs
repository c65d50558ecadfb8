//! Measures the latency that a node adds and the request throughput per core.

use std::time::{Duration, Instant};

use futures::StreamExt;
use reqwest::Client;

use crate::deployment::{Deployment, WORKSPACE_TOKEN};
use crate::usage::Usage;

/// Number of sequential requests, sent to a replica directly and through a node.
const SEQUENTIAL_REQUESTS: usize = 3_000;

/// Total number of parallel requests, and how many are in flight at once.
const PARALLEL_REQUESTS: usize = 20_000;
const CONCURRENCY: usize = 32;

/// Request latencies in ascending order.
struct Latencies(Vec<Duration>);

impl Latencies {
    fn percentile(&self, percent: usize) -> f64 {
        let index = (self.0.len() * percent / 100).min(self.0.len() - 1);
        self.0[index].as_secs_f64() * 1000.0
    }
}

/// Prints the latency table and the throughput.
pub async fn run() {
    let deployment = Deployment::start(1).await;
    let direct_url = format!("{}/balance/pupil", deployment.services[0].url());
    let node_url = format!("{}/v1/endpoints/ledger/balance/pupil", deployment.nodes[0].url());
    measure_sequential(&deployment.client, &direct_url).await;
    measure_sequential(&deployment.client, &node_url).await;
    let direct = measure_sequential(&deployment.client, &direct_url).await;
    let node = measure_sequential(&deployment.client, &node_url).await;
    println!("latency of {SEQUENTIAL_REQUESTS} sequential requests");
    println!("{:>10} {:>10} {:>10}", "", "p50 ms", "p99 ms");
    for (label, latencies) in [("direct", &direct), ("node", &node)] {
        println!(
            "{label:>10} {:>10.3} {:>10.3}",
            latencies.percentile(50),
            latencies.percentile(99)
        );
    }
    println!(
        "{:>10} {:>10.3} {:>10.3}",
        "added",
        node.percentile(50) - direct.percentile(50),
        node.percentile(99) - direct.percentile(99)
    );
    measure_parallel(&deployment, &node_url).await;
}

async fn measure_sequential(client: &Client, url: &str) -> Latencies {
    let mut latencies = Vec::with_capacity(SEQUENTIAL_REQUESTS);
    for _request in 0..SEQUENTIAL_REQUESTS {
        let start = Instant::now();
        let response = client
            .get(url)
            .bearer_auth(WORKSPACE_TOKEN)
            .header("bilberrylatch-dispatch", "bench")
            .send()
            .await;
        let _body = response
            .expect("a response should arrive")
            .bytes()
            .await
            .expect("the body should arrive");
        latencies.push(start.elapsed());
    }
    latencies.sort();
    Latencies(latencies)
}

async fn measure_parallel(deployment: &Deployment, url: &str) {
    let node = &deployment.nodes[0];
    let before = Usage::sample(node);
    let requests = (0..PARALLEL_REQUESTS).map(|_request| async {
        let response = deployment
            .client
            .get(url)
            .bearer_auth(WORKSPACE_TOKEN)
            .send()
            .await
            .expect("a response should arrive");
        response.status().is_success()
    });
    let succeeded = futures::stream::iter(requests)
        .buffer_unordered(CONCURRENCY)
        .filter(|ok| std::future::ready(*ok))
        .count()
        .await;
    let after = Usage::sample(node);
    let elapsed = after.sampled_at.duration_since(before.sampled_at).as_secs_f64();
    let cpu_seconds = after.cpu_seconds - before.cpu_seconds;
    println!(
        "\n{CONCURRENCY} concurrent requests: {succeeded} of {PARALLEL_REQUESTS} succeeded, {:.0} requests/s",
        PARALLEL_REQUESTS as f64 / elapsed
    );
    println!(
        "node: {:.0} µs of CPU time per request, {:.0} requests/s per core",
        cpu_seconds / PARALLEL_REQUESTS as f64 * 1e6,
        PARALLEL_REQUESTS as f64 / cpu_seconds
    );
}
