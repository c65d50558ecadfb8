//! Non-idempotent requests under issued keys run at most once, even if the key's home node fails.
//!
//! The home node is the node that issued the key; the key names it.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use reqwest::{Response, StatusCode};
use serde_json::{Value, json};

use crate::deployment::Deployment;
use crate::process::Process;
use crate::top_up::{outcome, top_up};

/// Longest time to respond to a repeated request: immediate once the node has noticed that a peer is silent.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(3);

/// Repeats a request until its outcome is `expected`. Each response must arrive within [`MAX_RESPONSE_TIME`] and must
/// not report `not-run`.
async fn repeat_until_outcome(
    deployment: &Deployment,
    node: &Process,
    key: &str,
    expected: &str,
) -> Response {
    const ATTEMPTS: u32 = 100;
    for _attempt in 0..ATTEMPTS {
        let started = Instant::now();
        let response = top_up(deployment, node, key).await;
        assert!(
            started.elapsed() < MAX_RESPONSE_TIME,
            "the response to a repeated request was delayed"
        );
        let reported = outcome(&response);
        if reported == expected {
            return response;
        }
        let text = response.text().await.unwrap();
        assert_ne!(reported, "not-run", "the request ran: {text}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    panic!("no response had the outcome {expected}")
}

#[tokio::test]
async fn concurrent_requests_with_one_key_run_once() {
    let deployment = Deployment::start(3).await;
    for _round in 0..10 {
        let key = deployment.issue_key(&deployment.nodes[0]).await;
        let before = deployment.runs().await.len();
        let (first, second) = tokio::join!(
            top_up(&deployment, &deployment.nodes[1], &key),
            top_up(&deployment, &deployment.nodes[2], &key)
        );
        assert_eq!(
            (first.status(), second.status()),
            (StatusCode::OK, StatusCode::OK)
        );
        let (first, second): (Value, Value) = (first.json().await.unwrap(), second.json().await.unwrap());
        assert_eq!(first, second);
        assert_eq!(deployment.runs().await.len(), before + 1);
    }
}

#[tokio::test]
async fn repeat_after_home_node_is_killed_returns_unknown() {
    let mut deployment = Deployment::start(3).await;
    let key = deployment.issue_key(&deployment.nodes[0]).await;
    let unused = deployment.issue_key(&deployment.nodes[0]).await;
    assert_eq!(
        top_up(&deployment, &deployment.nodes[0], &key).await.status(),
        StatusCode::OK
    );
    deployment.nodes[0].kill();
    for key in [&key, &unused] {
        let started = Instant::now();
        let response = top_up(&deployment, &deployment.nodes[1], key).await;
        assert!(started.elapsed() < MAX_RESPONSE_TIME, "the response was delayed");
        assert_eq!(outcome(&response), "unknown");
    }
    assert_eq!(deployment.runs().await.len(), 1);
}

#[tokio::test]
async fn stopping_home_node_hands_over_its_responses() {
    let mut deployment = Deployment::start(3).await;
    let key = deployment.issue_key(&deployment.nodes[0]).await;
    let unused = deployment.issue_key(&deployment.nodes[0]).await;
    let first: Value = top_up(&deployment, &deployment.nodes[1], &key)
        .await
        .json()
        .await
        .unwrap();
    deployment.nodes[0].signal(Signal::SIGTERM);
    deployment.nodes[0].signal(Signal::SIGTERM);
    assert!(deployment.nodes[0].wait().success());
    for node in &deployment.nodes[1..] {
        let response = repeat_until_outcome(&deployment, node, &key, "answered").await;
        assert_eq!(response.json::<Value>().await.unwrap(), first);
        let unused_response = top_up(&deployment, node, &unused).await;
        assert_eq!(
            outcome(&unused_response),
            "not-run",
            "the home node should have certified that the key was never used"
        );
    }
    assert_eq!(deployment.runs().await.len(), 1);
}

#[tokio::test]
async fn issued_keys_work_during_a_platform_outage() {
    let deployment = Deployment::start(3).await;
    deployment
        .set_faults(&deployment.kv, json!({"outage": "unavailable"}))
        .await;
    for round in 1..=20_usize {
        let key = deployment.issue_key(&deployment.nodes[round % 3]).await;
        let response = top_up(&deployment, &deployment.nodes[(round + 1) % 3], &key).await;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(deployment.runs().await.len(), round);
    }
}

#[tokio::test]
async fn resumed_home_node_runs_no_request_twice() {
    let deployment = Deployment::start(3).await;
    let key = deployment.issue_key(&deployment.nodes[0]).await;
    deployment.nodes[0].freeze().await;
    let response = top_up(&deployment, &deployment.nodes[1], &key).await;
    assert_eq!(outcome(&response), "unknown");
    // Longer than the lease of the home node's registration.
    tokio::time::sleep(Duration::from_secs(12)).await;
    let response = top_up(&deployment, &deployment.nodes[2], &key).await;
    assert_eq!(outcome(&response), "unknown");
    deployment.nodes[0].signal(Signal::SIGCONT);
    for _repeat in 0..10 {
        for node in &deployment.nodes {
            top_up(&deployment, node, &key).await;
        }
    }
    assert!(deployment.runs().await.len() <= 1);
}

#[tokio::test]
async fn briefly_frozen_home_node_answers_after_it_resumes() {
    let deployment = Deployment::start(3).await;
    let key = deployment.issue_key(&deployment.nodes[0]).await;
    deployment.nodes[0].freeze().await;
    let started = Instant::now();
    let response = top_up(&deployment, &deployment.nodes[1], &key).await;
    assert!(started.elapsed() < MAX_RESPONSE_TIME, "the response was delayed");
    assert_eq!(outcome(&response), "unknown");
    deployment.nodes[0].signal(Signal::SIGCONT);
    // The request forwarded to the frozen home node may run when the node resumes. Repeated requests then wait for
    // that run instead of starting another.
    let mut answers = Vec::new();
    for node in &deployment.nodes {
        let response = repeat_until_outcome(&deployment, node, &key, "answered").await;
        answers.push(response.json::<Value>().await.unwrap());
    }
    assert!(answers.iter().all(|answer| *answer == answers[0]), "{answers:?}");
    assert_eq!(deployment.runs().await.len(), 1);
}

/// Longest wait until the other nodes declare a silent node gone.
const DECLARED_GONE_TIMEOUT: Duration = Duration::from_mins(1);

#[tokio::test]
async fn home_node_declared_gone_runs_nothing_after_it_resumes() {
    let deployment = Deployment::start(3).await;
    let key = deployment.issue_key(&deployment.nodes[0]).await;
    deployment.nodes[0].freeze().await;
    let started = Instant::now();
    while !reports_home_gone(&deployment, &deployment.nodes[1], &key).await {
        assert!(
            started.elapsed() < DECLARED_GONE_TIMEOUT,
            "the home node was not declared gone"
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    deployment.nodes[0].signal(Signal::SIGCONT);
    for _repeat in 0..10 {
        for node in &deployment.nodes {
            let reported = outcome(&top_up(&deployment, node, &key).await);
            assert_ne!(reported, "answered", "a node declared gone must not run requests");
        }
        for node in &deployment.nodes[1..] {
            assert!(reports_home_gone(&deployment, node, &key).await);
        }
    }
    assert_eq!(deployment.runs().await.len(), 0);
}

/// Repeats a request and returns whether the response reports that the key's home node is gone. Asserts that the
/// outcome is `unknown` in either case.
async fn reports_home_gone(deployment: &Deployment, node: &Process, key: &str) -> bool {
    let response = top_up(deployment, node, key).await;
    assert_eq!(outcome(&response), "unknown");
    response.text().await.unwrap().contains("home-gone")
}

/// A fault of the ledger during a top-up, the outcomes that may be reported, and how often the top-up runs.
struct Fault {
    faults: fn() -> Value,
    outcomes: &'static [&'static str],
    runs: usize,
}

const FAULTS: [Fault; 8] = [
    Fault {
        faults: || json!({"reset_before": {"next": 1}}),
        outcomes: &["unknown"],
        runs: 0,
    },
    Fault {
        faults: || json!({"reset_after": {"next": 1}}),
        outcomes: &["unknown"],
        runs: 1,
    },
    Fault {
        faults: || json!({"wrong_dispatch": {"next": 1}}),
        outcomes: &["unknown"],
        runs: 1,
    },
    Fault {
        faults: || json!({"truncate": {"next": 1}}),
        outcomes: &["unknown"],
        runs: 1,
    },
    Fault {
        faults: || json!({"cut": {"next": 1}}),
        outcomes: &["unknown"],
        runs: 1,
    },
    Fault {
        faults: || json!({"fail_after": {"next": 1}}),
        outcomes: &["answered", "unknown"],
        runs: 1,
    },
    Fault {
        faults: || json!({"reject": {"next": 1}}),
        outcomes: &["answered"],
        runs: 1,
    },
    Fault {
        faults: || json!({"late": {"next": 1}, "late_ms": 300}),
        outcomes: &["answered"],
        runs: 1,
    },
];

#[tokio::test]
async fn outcomes_match_actual_runs_under_ledger_faults() {
    let deployment = Deployment::start(2).await;
    for (index, fault) in FAULTS.iter().enumerate() {
        let before = deployment.runs().await.len();
        for service in &deployment.services {
            deployment.set_faults(service, (fault.faults)()).await;
        }
        let key = deployment.issue_key(&deployment.nodes[0]).await;
        let response = top_up(&deployment, &deployment.nodes[0], &key).await;
        let reported = outcome(&response);
        assert!(
            fault.outcomes.contains(&reported.as_str()),
            "fault {index}: unexpected outcome {reported}"
        );
        for service in &deployment.services {
            deployment.set_faults(service, json!({})).await;
        }
        let repeated = outcome(&top_up(&deployment, &deployment.nodes[1], &key).await);
        assert_eq!(
            repeated, reported,
            "fault {index}: a repeat should report the same outcome"
        );
        assert_eq!(
            deployment.runs().await.len(),
            before + fault.runs,
            "fault {index}: number of runs"
        );
    }
}

#[tokio::test]
async fn repeat_at_a_stopping_node_is_not_reported_as_not_run() {
    let deployment = Deployment::start(3).await;
    let key = deployment.issue_key(&deployment.nodes[0]).await;
    let first = top_up(&deployment, &deployment.nodes[0], &key).await;
    assert_eq!(outcome(&first), "answered");
    deployment.nodes[1].signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let response = top_up(&deployment, &deployment.nodes[1], &key).await;
    assert_ne!(outcome(&response), "not-run");
}

#[tokio::test]
async fn keys_show_reports_key_counts() {
    let deployment = Deployment::start(1).await;
    let key = deployment.issue_key(&deployment.nodes[0]).await;
    top_up(&deployment, &deployment.nodes[0], &key).await;
    top_up(&deployment, &deployment.nodes[0], "chosen").await;
    let output = deployment.run_cli(&["--json", "keys", "show"]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let counts: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(counts["issued_ended"], json!(1));
    assert_eq!(counts["chosen_held"], json!(1));
}
