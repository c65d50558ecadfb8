//! Token streams arrive complete even if replicas or nodes stop in the middle.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::process::Process;
use crate::sse::Stream;

/// Number of tokens in a stream that is long enough to be interrupted.
const STREAM_TOKENS: u32 = 60;

/// Number of tokens that may be recomputed per stream when its replica is reclaimed with notice: those generated
/// during the export.
const MAX_RECOMPUTED_PER_STREAM: u64 = 16;

/// Number of tokens in a stream that runs longer than the notice period.
const LONG_STREAM_TOKENS: u32 = 250;

/// Number of concurrent streams.
const CONCURRENT_STREAMS: usize = 12;

async fn run_stream(deployment: &Deployment, node: &Process, prompt: &str, tokens: u32) -> Stream {
    let body = json!({"prompt": prompt, "max_tokens": tokens});
    let response = deployment
        .workspace_request(node, "assistant", "v1/completions")
        .json(&body)
        .send()
        .await
        .unwrap();
    assert!(response.status().is_success(), "{}", response.status());
    Stream::read(response).await
}

/// Runs streams through `nodes`, runs `interruption` while they are in progress, and checks every token of every
/// stream.
async fn check_streams_during<F>(deployment: &Deployment, nodes: &[usize], interruption: F)
where
    F: Future<Output = ()>,
{
    let prompts: Vec<String> = (0..CONCURRENT_STREAMS)
        .map(|index| format!("lease file {index}"))
        .collect();
    let streams = prompts.iter().enumerate().map(|(index, prompt)| {
        let node = &deployment.nodes[nodes[index % nodes.len()]];
        run_stream(deployment, node, prompt, STREAM_TOKENS)
    });
    let delayed_interruption = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        interruption.await;
    };
    let (streams, ()) = tokio::join!(futures::future::join_all(streams), delayed_interruption);
    for (stream, prompt) in streams.iter().zip(&prompts) {
        stream.assert_complete(prompt, 0, STREAM_TOKENS);
    }
}

#[tokio::test]
async fn killing_a_replica_mid_stream_loses_no_token() {
    let mut deployment = Deployment::start(2).await;
    let engine = deployment.engines.remove(0);
    check_streams_during(&deployment, &[0, 1], async move { drop(engine) }).await;
}

#[tokio::test]
async fn reclaim_with_notice_loses_no_token() {
    let mut deployment = Deployment::start(3).await;
    let mut engine = deployment.engines.remove(0);
    let url = format!("{}/admin/vms/assistant-0/notice", deployment.cloud.url());
    let client = deployment.client.clone();
    check_streams_during(&deployment, &[0, 1, 2], async move {
        client
            .post(url)
            .json(&json!({"notice_ms": 500}))
            .send()
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
        engine.kill();
    })
    .await;
}

#[tokio::test]
async fn stopping_a_node_interrupts_no_stream() {
    let deployment = Deployment::start(3).await;
    let node = &deployment.nodes[1];
    check_streams_during(&deployment, &[0, 1, 2], async { node.signal(Signal::SIGTERM) }).await;
}

#[tokio::test]
async fn stopping_all_nodes_but_one_interrupts_no_stream() {
    let deployment = Deployment::start(3).await;
    check_streams_during(&deployment, &[0, 1, 2], async {
        deployment.nodes[0].signal(Signal::SIGTERM);
        deployment.nodes[2].signal(Signal::SIGTERM);
    })
    .await;
}

/// Faults of one engine after which an idempotent stream is retried.
const ENGINE_FAULTS: [fn() -> Value; 6] = [
    || json!({"truncate": {"next": 4}}),
    || json!({"cut": {"next": 4}}),
    || json!({"duplicate": {"next": 4}}),
    || json!({"wrong_dispatch": {"next": 4}}),
    || json!({"fail_before": {"next": 4}}),
    || json!({"reset_before": {"next": 4}}),
];

#[tokio::test]
async fn faulty_engine_responses_never_reach_the_caller() {
    for faults in ENGINE_FAULTS {
        let deployment = Deployment::start(1).await;
        deployment.set_faults(&deployment.engines[0], faults()).await;
        check_streams_during(&deployment, &[0], async {}).await;
    }
}

#[tokio::test]
async fn stream_resumes_at_another_node() {
    let deployment = Deployment::start(2).await;
    let body = json!({"prompt": "resume", "max_tokens": 10});
    let call = deployment
        .workspace_request(&deployment.nodes[1], "assistant", "v1/completions")
        .json(&body);
    let response = call.header("last-event-id", "3").send().await.unwrap();
    Stream::read(response).await.assert_complete("resume", 4, 10);
}

/// Sums a counter over the remaining engines.
async fn sum_engine_counts(deployment: &Deployment, name: &str) -> u64 {
    let mut sum = 0;
    for engine in &deployment.engines {
        let url = format!("{}/admin/counts", engine.url());
        let counts: Value = deployment
            .client
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap();
        sum += counts[name].as_u64().unwrap();
    }
    sum
}

/// Returns a long prompt whose prefix no other stream shares.
fn long_prompt(index: usize) -> String {
    format!("lease file {index} ") + &"clause of the lease and its terms ".repeat(200)
}

#[tokio::test]
async fn reclaim_with_notice_recomputes_few_tokens() {
    let mut deployment = Deployment::start(2).await;
    let mut engine = deployment.engines.remove(0);
    let url = format!("{}/admin/vms/assistant-0/notice", deployment.cloud.url());
    let client = deployment.client.clone();
    let prompts: Vec<String> = (0..CONCURRENT_STREAMS).map(long_prompt).collect();
    let streams = prompts.iter().enumerate().map(|(index, prompt)| {
        run_stream(
            &deployment,
            &deployment.nodes[index % 2],
            prompt,
            LONG_STREAM_TOKENS,
        )
    });
    let reclaim = async {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        client
            .post(url)
            .json(&json!({"notice_ms": 1000}))
            .send()
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        engine.kill();
    };
    let (streams, ()) = tokio::join!(futures::future::join_all(streams), reclaim);
    for (stream, prompt) in streams.iter().zip(&prompts) {
        stream.assert_complete(prompt, 0, LONG_STREAM_TOKENS);
    }
    assert!(
        sum_engine_counts(&deployment, "imported").await > 0,
        "no stream was moved to another engine"
    );
    let recomputed = sum_engine_counts(&deployment, "recomputed").await;
    println!("tokens recomputed after the reclaim: {recomputed}");
    assert!(
        recomputed <= CONCURRENT_STREAMS as u64 * MAX_RECOMPUTED_PER_STREAM,
        "{recomputed}"
    );
}

/// Registers the VM of a node with the fake cloud.
async fn register_node(deployment: &Deployment, index: usize, zone: &str) {
    let vm = json!({
        "id": format!("node-{index}"), "kind": "node", "zone": zone, "class": "entry", "reclaimable": true,
        "addr": deployment.nodes[index].address.to_string(), "state": "live",
        "incarnation": format!("{:016x}", 0xaa00 + index),
    });
    let url = format!("{}/admin/vms/node-{index}", deployment.cloud.url());
    deployment
        .client
        .put(&url)
        .json(&vm)
        .send()
        .await
        .unwrap()
        .error_for_status()
        .unwrap();
}

/// All VMs of a zone are reclaimed at once: its replicas and its three nodes, one of which reads no notices itself and
/// learns of the reclaim from its peers.
#[tokio::test]
async fn zone_reclaim_stops_its_nodes_and_interrupts_no_stream() {
    const ZONE_NODES: [usize; 3] = [1, 4, 7];
    let mut deployment = Deployment::start(9).await;
    for index in ZONE_NODES {
        register_node(&deployment, index, "demo-b").await;
    }
    // Gives every node time to read the VM list once, so that it knows the incarnation of its own VM.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let url = format!("{}/admin/zones/demo-b/reclaim", deployment.cloud.url());
    let client = deployment.client.clone();
    check_streams_during(&deployment, &[0, 1, 4, 7, 8], async {
        client
            .post(url)
            .json(&json!({"notice_ms": 15_000}))
            .send()
            .await
            .unwrap()
            .error_for_status()
            .unwrap();
    })
    .await;
    for index in ZONE_NODES {
        assert!(deployment.nodes[index].wait().success());
    }
    let has_six_alive = |list: &Value| {
        list.as_array()
            .is_some_and(|list| list.iter().filter(|node| node["state"] == json!("alive")).count() == 6)
    };
    deployment
        .wait_for(&deployment.nodes[0], "/v1/admin/nodes", has_six_alive)
        .await;
}
