//! Streams are whole, also when replicas or nodes leave in the middle.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::process::Process;
use crate::sse::Stream;

/// Tokens of a stream that is long enough to be interrupted.
const TOKENS: u32 = 60;

/// Tokens that a stream may have computed again when its replica leaves with notice: those made during the export.
const RECOMPUTED_A_STREAM: u64 = 16;

/// Tokens of a stream that outlasts a notice.
const LONG_TOKENS: u32 = 250;

/// Streams under way at once.
const STREAMS: usize = 12;

async fn stream(deployment: &Deployment, node: &Process, prompt: &str, tokens: u32) -> Stream {
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

/// Runs streams over all nodes, does `meanwhile` in their middle, and checks every token of every stream.
async fn all_whole<M>(deployment: &Deployment, nodes: &[usize], meanwhile: M)
where
    M: Future<Output = ()>,
{
    let prompts: Vec<String> = (0..STREAMS).map(|index| format!("lease file {index}")).collect();
    let streams = prompts.iter().enumerate().map(|(index, prompt)| {
        let node = &deployment.nodes[nodes[index % nodes.len()]];
        stream(deployment, node, prompt, TOKENS)
    });
    let interruption = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        meanwhile.await;
    };
    let (streams, ()) = tokio::join!(futures::future::join_all(streams), interruption);
    for (stream, prompt) in streams.iter().zip(&prompts) {
        stream.assert_complete(prompt, 0, TOKENS);
    }
}

#[tokio::test]
async fn killing_a_replica_mid_stream_loses_no_token() {
    let mut deployment = Deployment::start(2).await;
    let engine = deployment.engines.remove(0);
    all_whole(&deployment, &[0, 1], async move { drop(engine) }).await;
}

#[tokio::test]
async fn reclaim_with_notice_loses_no_token() {
    let mut deployment = Deployment::start(3).await;
    let mut engine = deployment.engines.remove(0);
    let url = format!("{}/admin/vms/assistant-0/notice", deployment.cloud.url());
    let client = deployment.client.clone();
    all_whole(&deployment, &[0, 1, 2], async move {
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
    all_whole(&deployment, &[0, 1, 2], async { node.signal(Signal::SIGTERM) }).await;
}

#[tokio::test]
async fn stopping_all_nodes_but_one_interrupts_no_stream() {
    let deployment = Deployment::start(3).await;
    all_whole(&deployment, &[0, 1, 2], async {
        deployment.nodes[0].signal(Signal::SIGTERM);
        deployment.nodes[2].signal(Signal::SIGTERM);
    })
    .await;
}

/// Faults of one engine that an idempotent stream gets over.
const FAULTS: [fn() -> Value; 6] = [
    || json!({"truncate": {"next": 4}}),
    || json!({"cut": {"next": 4}}),
    || json!({"duplicate": {"next": 4}}),
    || json!({"wrong_dispatch": {"next": 4}}),
    || json!({"fail_before": {"next": 4}}),
    || json!({"reset_before": {"next": 4}}),
];

#[tokio::test]
async fn faulty_engine_responses_never_reach_the_caller() {
    for faults in FAULTS {
        let deployment = Deployment::start(1).await;
        deployment.set_faults(&deployment.engines[0], faults()).await;
        all_whole(&deployment, &[0], async {}).await;
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

/// A count of the engines that are left.
async fn count(deployment: &Deployment, name: &str) -> u64 {
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

/// A long lease file, shared by no other stream.
fn lease_file(index: usize) -> String {
    format!("lease file {index} ") + &"clause of the lease and its terms ".repeat(200)
}

#[tokio::test]
async fn reclaim_with_notice_recomputes_few_tokens() {
    let mut deployment = Deployment::start(2).await;
    let mut engine = deployment.engines.remove(0);
    let url = format!("{}/admin/vms/assistant-0/notice", deployment.cloud.url());
    let client = deployment.client.clone();
    let prompts: Vec<String> = (0..STREAMS).map(lease_file).collect();
    let streams = prompts
        .iter()
        .enumerate()
        .map(|(index, prompt)| stream(&deployment, &deployment.nodes[index % 2], prompt, LONG_TOKENS));
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
        stream.assert_complete(prompt, 0, LONG_TOKENS);
    }
    assert!(count(&deployment, "imported").await > 0, "no stream was moved");
    let recomputed = count(&deployment, "recomputed").await;
    println!("tokens recomputed after the reclaim: {recomputed}");
    assert!(recomputed <= STREAMS as u64 * RECOMPUTED_A_STREAM, "{recomputed}");
}

/// Registers a node's own VM at the cloud.
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

/// A whole zone is reclaimed at once: its three nodes, of which one reads no notices itself, and its replicas.
#[tokio::test]
async fn zone_reclaim_stops_its_nodes_and_interrupts_no_stream() {
    const ZONE_NODES: [usize; 3] = [1, 4, 7];
    let mut deployment = Deployment::start(9).await;
    for index in ZONE_NODES {
        register_node(&deployment, index, "demo-b").await;
    }
    // Every node has read the list once, so that it knows the run of its own VM.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let url = format!("{}/admin/zones/demo-b/reclaim", deployment.cloud.url());
    let client = deployment.client.clone();
    all_whole(&deployment, &[0, 1, 4, 7, 8], async {
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
    let left = |list: &Value| {
        list.as_array()
            .is_some_and(|list| list.iter().filter(|it| it["state"] == json!("alive")).count() == 6)
    };
    deployment
        .wait_for(&deployment.nodes[0], "/v1/admin/nodes", left)
        .await;
}
