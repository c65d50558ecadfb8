//! What a node spends on streams that it relays.

use std::time::Duration;

use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::usage::Usage;

/// Streams relayed at once; the two engines of the deployment run them all.
const STREAM_COUNTS: [usize; 3] = [8, 16, 32];

/// Tokens of each stream: more than are sent while it is looked at.
const TOKENS_PER_STREAM: u32 = 4_000;

/// Time for the streams to begin.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Prints the table.
pub async fn run() {
    println!("\na node that relays streams");
    println!(
        "{:>10} {:>12} {:>12} {:>16}",
        "streams", "resident MB", "tokens/s", "µs core a token"
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
                let mut response = request.send().await.expect("an answer");
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

/// Tokens that the engines have generated.
async fn count_decoded_tokens(deployment: &Deployment) -> f64 {
    let mut sum = 0.0;
    for engine in &deployment.engines {
        let url = format!("{}/admin/counts", engine.url());
        let counts: Value = deployment
            .client
            .get(url)
            .send()
            .await
            .expect("counts")
            .json()
            .await
            .expect("JSON");
        sum += counts["decoded"].as_f64().expect("a number");
    }
    sum
}
