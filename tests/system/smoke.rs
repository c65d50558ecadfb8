//! Smoke test of the whole request path: address discovery, a token stream and a top-up.

use reqwest::StatusCode;
use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::sse::Stream;

#[tokio::test]
async fn stream_and_top_up_through_real_processes() {
    let deployment = Deployment::start(3).await;
    let node = &deployment.nodes[1];

    let url = format!("{}/v1/addresses?endpoint=assistant&zone=demo-b", node.url());
    let addresses: Value = deployment
        .client
        .get(url)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    let addresses = addresses["addresses"]
        .as_array()
        .expect("the response should list addresses")
        .clone();
    assert_eq!(addresses.len(), 3);
    assert_eq!(addresses[0]["zone"], json!("demo-b"));

    let body = json!({"prompt": "smoke", "max_tokens": 12});
    let response = deployment
        .workspace_request(node, "assistant", "v1/completions")
        .json(&body)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.headers()["bilberrylatch-version"], "v1");
    Stream::read(response).await.assert_complete("smoke", 0, 12);

    // A request with a key that one node issued is sent to each node in turn. It runs once, and every response is the
    // same.
    let key = deployment.issue_key(node).await;
    let body = json!({"account": "pupil", "amount": 250});
    for receiver in [&deployment.nodes[0], &deployment.nodes[2], node] {
        let response = deployment
            .workspace_request(receiver, "ledger", "topup")
            .header("idempotency-key", &key)
            .json(&body)
            .send()
            .await
            .unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.headers()["bilberrylatch-outcome"], "answered");
        let answer: Value = response.json().await.unwrap();
        assert_eq!(answer, json!({"account": "pupil", "balance": 250, "run": 1}));
    }
    assert_eq!(deployment.runs().await.len(), 1);
}
