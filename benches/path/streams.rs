//! Memory of a node a stream that it holds.

use std::time::Duration;

use serde_json::json;

use crate::deployment::Deployment;
use crate::usage::Usage;

/// Streams held at once, at most; the two engines of the deployment run them all.
const STREAMS: [usize; 3] = [8, 16, 32];

/// Tokens of each stream: more than are sent while it is looked at.
const TOKENS: u32 = 4_000;

/// Time for the streams to begin.
const BEGIN: Duration = Duration::from_secs(3);

/// Prints the table.
pub async fn run() {
    println!("\nmemory of a node that holds streams");
    println!("{:>10} {:>12}", "streams", "resident MB");
    for count in STREAMS {
        let deployment = Deployment::start(1).await;
        let body = json!({"prompt": "bench", "max_tokens": TOKENS});
        let mut held = Vec::new();
        for _stream in 0..count {
            let call = deployment
                .call(&deployment.nodes[0], "assistant", "v1/completions")
                .json(&body);
            held.push(tokio::spawn(call.send()));
        }
        tokio::time::sleep(BEGIN).await;
        let megabytes = Usage::of(&deployment.nodes[0]).memory as f64 / (1024.0 * 1024.0);
        println!("{count:>10} {megabytes:>12.1}");
        for stream in held {
            stream.abort();
        }
    }
}
