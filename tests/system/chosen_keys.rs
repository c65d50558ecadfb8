//! Requests under keys that callers choose are claimed in the key-value store and run at most once.

use std::time::{Duration, Instant};

use reqwest::StatusCode;
use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::top_up::{outcome, top_up};

/// Longest time to refuse a request in an outage: refusals are immediate once the node has noticed the outage.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(3);

#[tokio::test]
async fn concurrent_requests_with_one_key_run_once() {
    let deployment = Deployment::start(3).await;
    for round in 0..10 {
        let key = format!("top-up-{round}");
        let before = deployment.runs().await.len();
        let (first, second, third) = tokio::join!(
            top_up(&deployment, &deployment.nodes[0], &key),
            top_up(&deployment, &deployment.nodes[1], &key),
            top_up(&deployment, &deployment.nodes[2], &key)
        );
        let mut answers = Vec::new();
        for response in [first, second, third] {
            assert_eq!(response.status(), StatusCode::OK);
            answers.push(response.json::<Value>().await.unwrap());
        }
        assert!(answers.iter().all(|answer| *answer == answers[0]), "{answers:?}");
        assert_eq!(deployment.runs().await.len(), before + 1);
    }
}

#[tokio::test]
async fn lost_store_responses_cause_no_second_run() {
    let deployment = Deployment::start(3).await;
    deployment
        .set_faults(&deployment.kv, json!({"lose_answer": {"ppm": 300_000}}))
        .await;
    for round in 0..15 {
        let key = format!("lost-{round}");
        let mut reported = String::new();
        for attempt in 0..10 {
            let response = top_up(&deployment, &deployment.nodes[(round + attempt) % 3], &key).await;
            reported = outcome(&response);
            if reported == "answered" {
                break;
            }
            // Waits as long as docs/CALLING.md tells callers to.
            let retry_after_seconds: u64 = response.headers()["retry-after"]
                .to_str()
                .unwrap()
                .parse()
                .unwrap();
            tokio::time::sleep(Duration::from_secs(retry_after_seconds)).await;
        }
        assert_eq!(reported, "answered", "round {round}");
        // Repeated requests read the claim under the same faults. They may be refused but never run again.
        for node in &deployment.nodes {
            top_up(&deployment, node, &key).await;
        }
    }
    assert_eq!(deployment.runs().await.len(), 15);
}

#[tokio::test]
async fn outage_refuses_chosen_keys_immediately_with_advice() {
    let deployment = Deployment::start(2).await;
    assert_eq!(
        outcome(&top_up(&deployment, &deployment.nodes[0], "before").await),
        "answered"
    );
    deployment
        .set_faults(&deployment.kv, json!({"outage": "unavailable"}))
        .await;
    let started = Instant::now();
    let response = top_up(&deployment, &deployment.nodes[0], "during").await;
    assert!(started.elapsed() < MAX_RESPONSE_TIME, "the refusal was delayed");
    assert_eq!(outcome(&response), "not-run");
    assert!(response.headers().contains_key("retry-after"));
    assert!(response.text().await.unwrap().contains("issued key"));
    assert_eq!(deployment.runs().await.len(), 1);
    deployment.set_faults(&deployment.kv, json!({})).await;
    let mut reported = String::new();
    for _attempt in 0..50 {
        reported = outcome(&top_up(&deployment, &deployment.nodes[1], "during").await);
        if reported == "answered" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(reported, "answered");
    assert_eq!(deployment.runs().await.len(), 2);
}

#[tokio::test]
async fn repeat_after_claiming_node_is_killed_returns_the_recorded_result() {
    let mut deployment = Deployment::start(3).await;
    let mut keys = Vec::new();
    for round in 0..6 {
        let key = format!("killed-{round}");
        assert_eq!(
            outcome(&top_up(&deployment, &deployment.nodes[round % 3], &key).await),
            "answered"
        );
        keys.push(key);
    }
    // Gives the nodes time to record the results.
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.nodes[0].kill();
    for key in &keys {
        for node in &deployment.nodes[1..] {
            let reported = outcome(&top_up(&deployment, node, key).await);
            assert_eq!(reported, "answered", "the recorded result should be returned");
        }
    }
    assert_eq!(deployment.runs().await.len(), keys.len());
}
