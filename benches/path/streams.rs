//! What a node spends on streams that it relays.

use std::time::Duration;

use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::usage::Usage;

/// Streams relayed at once; the two engines of the deployment run them all.
const STREAMS: [usize; 3] = [8, 16, 32];

/// Tokens of each stream: more than are sent while it is looked at.
const TOKENS: u32 = 4_000;

/// Time for the streams to begin.
const BEGIN: Duration = Duration::from_secs(3);

/// Time measured.
const MEASURED: Duration = Duration::from_secs(5);

/// Prints the table.
pub async fn run() {
    println!("\na node that relays streams");
    println!(
        "{:>10} {:>12} {:>12} {:>16}",
        "streams", "resident MB", "tokens/s", "µs core a token"
    );
    for count in STREAMS {
        let deployment = Deployment::start(1).await;
        let body = json!({"prompt": "bench", "max_tokens": TOKENS});
        let mut held = Vec::new();
        for _stream in 0..count {
            let call = deployment
                .workspace_request(&deployment.nodes[0], "assistant", "v1/completions")
                .json(&body);
            held.push(tokio::spawn(async move {
                let mut response = call.send().await.expect("an answer");
                while let Ok(Some(_chunk)) = response.chunk().await {}
            }));
        }
        tokio::time::sleep(BEGIN).await;
        let (before, tokens_before) = (Usage::of(&deployment.nodes[0]), decoded(&deployment).await);
        tokio::time::sleep(MEASURED).await;
        let (after, tokens_after) = (Usage::of(&deployment.nodes[0]), decoded(&deployment).await);
        let tokens = tokens_after - tokens_before;
        let processor = after.processor - before.processor;
        let megabytes = after.memory as f64 / (1024.0 * 1024.0);
        println!(
            "{count:>10} {megabytes:>12.1} {:>12.0} {:>16.1}",
            tokens / MEASURED.as_secs_f64(),
            processor / tokens * 1e6
        );
        for stream in held {
            stream.abort();
        }
    }
}

/// Tokens that the engines have generated.
async fn decoded(deployment: &Deployment) -> f64 {
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
