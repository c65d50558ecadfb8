//! Measures the memory and CPU time that a node uses to relay streams.

use std::time::Duration;

use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::usage::Usage;

/// Numbers of concurrent streams. The deployment's two engines run all of them at once.
const STREAM_COUNTS: [usize; 3] = [8, 16, 32];

/// Number of tokens per stream, more than are generated during the measurement.
const TOKENS_PER_STREAM: u32 = 4_000;

/// Time for all streams to start before the measurement.
const WARM_UP: Duration = Duration::from_secs(3);

/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Prints the table of resource usage by number of streams.
pub async fn run() {
    println!("\nresource usage of a node that relays streams");
    println!(
        "{:>10} {:>12} {:>12} {:>16}",
        "streams", "resident MB", "tokens/s", "CPU µs/token"
    );
    for count in STREAM_COUNTS {
        let deployment = Deployment::start(1).await;
        let body = json!({"prompt": "bench", "max_tokens": TOKENS_PER_STREAM});
        let mut streams = Vec::new();
        for _stream in 0..count {
            let request = deployment
                .workspace_request(&deployment.nodes[0], "assistant", "v1/completions")
                .json(&body);
            streams.push(tokio::spawn(async move {
                let mut response = request.send().await.expect("a response should arrive");
                while let Ok(Some(_chunk)) = response.chunk().await {}
            }));
        }
        tokio::time::sleep(WARM_UP).await;
        let (before, tokens_before) = (
            Usage::sample(&deployment.nodes[0]),
            count_decoded_tokens(&deployment).await,
        );
        tokio::time::sleep(MEASUREMENT_TIME).await;
        let (after, tokens_after) = (
            Usage::sample(&deployment.nodes[0]),
            count_decoded_tokens(&deployment).await,
        );
        let tokens = tokens_after - tokens_before;
        let cpu_seconds = after.cpu_seconds - before.cpu_seconds;
        let megabytes = after.resident_bytes as f64 / (1024.0 * 1024.0);
        println!(
            "{count:>10} {megabytes:>12.1} {:>12.0} {:>16.1}",
            tokens / MEASUREMENT_TIME.as_secs_f64(),
            cpu_seconds / tokens * 1e6
        );
        for stream in streams {
            stream.abort();
        }
    }
}

/// Sums the tokens that the engines have decoded.
async fn count_decoded_tokens(deployment: &Deployment) -> f64 {
    let mut sum = 0.0;
    for engine in &deployment.engines {
        let url = format!("{}/admin/counts", engine.url());
        let counts: Value = deployment
            .client
            .get(url)
            .send()
            .await
            .expect("the counts should be readable")
            .json()
            .await
            .expect("the counts should be JSON");
        sum += counts["decoded"].as_f64().expect("the count should be a number");
    }
    sum
}
