//! An accepted catalogue is in force everywhere within seconds and never goes back.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::deployment::Deployment;

/// Bound on the time from acceptance to being in force on every live node, in seconds.
const IN_FORCE_SECONDS: &str = "9";

/// A variant of the catalogue, written beside the test's other files.
fn variant(name: &str) -> String {
    let text = std::fs::read_to_string(Deployment::catalogue_file()).unwrap();
    let path = std::env::temp_dir().join(format!("bilberrylatch-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, format!("# {name}\n{text}")).unwrap();
    path.to_str().unwrap().to_owned()
}

fn apply(deployment: &Deployment, file: &str) -> std::process::Output {
    deployment.run_cli(&[
        "--json",
        "catalogue",
        "apply",
        file,
        "--wait",
        "--timeout-seconds",
        IN_FORCE_SECONDS,
    ])
}

#[tokio::test]
async fn apply_with_lost_store_responses_takes_effect_once_on_every_node() {
    let deployment = Deployment::start(3).await;
    let faults = json!({"lose_answer": {"next": 3}});
    deployment.set_faults(&deployment.kv, faults).await;
    let applied = apply(&deployment, &variant("lost-answer"));
    assert!(
        applied.status.success(),
        "{}",
        String::from_utf8_lossy(&applied.stderr)
    );
    let accepted: Value = serde_json::from_slice(&applied.stdout).unwrap();
    assert_eq!(accepted["generation"], json!(2), "applied once");
}

#[tokio::test]
async fn stale_apply_is_refused_and_names_the_other_author() {
    let deployment = Deployment::start(2).await;
    let first = variant("first");
    let second = variant("second");
    let edit = |file: &str, author: &str| {
        deployment.run_cli(&["catalogue", "apply", file, "--expected", "1", "--author", author])
    };
    assert!(edit(&first, "anna").status.success());
    let late = edit(&second, "bea");
    assert_eq!(late.status.code(), Some(4));
    assert!(String::from_utf8_lossy(&late.stderr).contains("'anna' came first"));
}

/// Rounds in which two operators apply at once.
const ROUNDS: u64 = 5;

#[tokio::test]
async fn one_of_two_concurrent_applies_succeeds() {
    let deployment = Deployment::start(2).await;
    let first = variant("at-once-first");
    let second = variant("at-once-second");
    for round in 1..=ROUNDS {
        let expected = round.to_string();
        let one = ["catalogue", "apply", &first, "--expected", &expected];
        let other = ["catalogue", "apply", &second, "--expected", &expected];
        let (one, other) = tokio::join!(deployment.run_cli_async(&one), deployment.run_cli_async(&other));
        let mut codes = [one.status.code(), other.status.code()];
        codes.sort_unstable();
        assert_eq!(codes, [Some(0), Some(4)], "one wins, one is told of the other");
        for node in &deployment.nodes {
            let wanted = json!(round + 1);
            deployment
                .wait_for(node, "/v1/admin/catalogue/status", |s| s["applied"] == wanted)
                .await;
        }
    }
}

#[tokio::test]
async fn outage_right_after_an_apply_does_not_stop_propagation() {
    let deployment = Deployment::start(3).await;
    let file = variant("outage");
    let applied = deployment.run_cli(&["catalogue", "apply", &file]);
    deployment
        .set_faults(&deployment.kv, json!({"outage": "unavailable"}))
        .await;
    assert!(applied.status.success());
    for node in &deployment.nodes {
        let status = deployment
            .wait_for(node, "/v1/admin/catalogue/status", |s| s["applied"] == json!(2))
            .await;
        assert_eq!(status["applied"], json!(2));
    }
}

#[tokio::test]
async fn restarted_and_resumed_nodes_apply_the_newest_generation() {
    let mut deployment = Deployment::start(3).await;
    deployment.nodes[2].kill();
    deployment.nodes[1].signal(Signal::SIGSTOP);
    let file = variant("newest");
    let applied = deployment.run_cli(&["catalogue", "apply", &file]);
    assert!(
        applied.status.success(),
        "{}",
        String::from_utf8_lossy(&applied.stderr)
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.nodes[1].signal(Signal::SIGCONT);
    let restarted = deployment.start_node(2);
    for node in [&deployment.nodes[1], &restarted] {
        deployment
            .wait_for(node, "/v1/admin/catalogue/status", |s| s["applied"] == json!(2))
            .await;
    }
}

#[tokio::test]
async fn node_started_during_an_outage_gets_the_catalogue_from_its_peers() {
    let deployment = Deployment::start(2).await;
    deployment
        .set_faults(&deployment.kv, json!({"outage": "unavailable"}))
        .await;
    let late = deployment.start_node(2);
    deployment
        .wait_for(&late, "/v1/admin/catalogue/status", |s| s["applied"] == json!(1))
        .await;
}
