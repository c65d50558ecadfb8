//! An accepted catalogue takes effect on every node within seconds and is never replaced by an older one.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::deployment::Deployment;

/// Longest time from acceptance of a catalogue until every live node has applied it, in seconds.
const PROPAGATION_TIMEOUT_SECONDS: &str = "9";

/// Writes a copy of the catalogue that differs in a comment to the temporary directory and returns its path.
fn write_variant(name: &str) -> String {
    let text = std::fs::read_to_string(Deployment::catalogue_file()).unwrap();
    let path = std::env::temp_dir().join(format!("bilberrylatch-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, format!("# {name}\n{text}")).unwrap();
    path.to_str().unwrap().to_owned()
}

fn apply_and_wait(deployment: &Deployment, file: &str) -> std::process::Output {
    deployment.run_cli(&[
        "--json",
        "catalogue",
        "apply",
        file,
        "--wait",
        "--timeout-seconds",
        PROPAGATION_TIMEOUT_SECONDS,
    ])
}

#[tokio::test]
async fn apply_with_lost_store_responses_takes_effect_once_on_every_node() {
    let deployment = Deployment::start(3).await;
    let faults = json!({"lose_answer": {"next": 3}});
    deployment.set_faults(&deployment.kv, faults).await;
    let applied = apply_and_wait(&deployment, &write_variant("lost-answer"));
    assert!(
        applied.status.success(),
        "{}",
        String::from_utf8_lossy(&applied.stderr)
    );
    let accepted: Value = serde_json::from_slice(&applied.stdout).unwrap();
    assert_eq!(
        accepted["generation"],
        json!(2),
        "the catalogue should be applied once"
    );
}

#[tokio::test]
async fn stale_apply_is_refused_and_names_the_other_author() {
    let deployment = Deployment::start(2).await;
    let first = write_variant("first");
    let second = write_variant("second");
    let apply_as = |file: &str, author: &str| {
        deployment.run_cli(&["catalogue", "apply", file, "--expected", "1", "--author", author])
    };
    assert!(apply_as(&first, "anna").status.success());
    let stale = apply_as(&second, "bea");
    assert_eq!(stale.status.code(), Some(4));
    assert!(String::from_utf8_lossy(&stale.stderr).contains("'anna' came first"));
}

/// Number of rounds in which two operators apply a catalogue concurrently.
const ROUNDS: u64 = 5;

#[tokio::test]
async fn one_of_two_concurrent_applies_succeeds() {
    let deployment = Deployment::start(2).await;
    let first = write_variant("at-once-first");
    let second = write_variant("at-once-second");
    for round in 1..=ROUNDS {
        let expected = round.to_string();
        let first_arguments = ["catalogue", "apply", &first, "--expected", &expected];
        let second_arguments = ["catalogue", "apply", &second, "--expected", &expected];
        let (first_output, second_output) = tokio::join!(
            deployment.run_cli_async(&first_arguments),
            deployment.run_cli_async(&second_arguments)
        );
        let mut codes = [first_output.status.code(), second_output.status.code()];
        codes.sort_unstable();
        assert_eq!(
            codes,
            [Some(0), Some(4)],
            "one apply should succeed and the other report a conflict"
        );
        for node in &deployment.nodes {
            let generation = json!(round + 1);
            deployment
                .wait_for(node, "/v1/admin/catalogue/status", |status| {
                    status["applied"] == generation
                })
                .await;
        }
    }
}

#[tokio::test]
async fn outage_right_after_an_apply_does_not_stop_propagation() {
    let deployment = Deployment::start(3).await;
    let file = write_variant("outage");
    let applied = deployment.run_cli(&["catalogue", "apply", &file]);
    deployment
        .set_faults(&deployment.kv, json!({"outage": "unavailable"}))
        .await;
    assert!(applied.status.success());
    for node in &deployment.nodes {
        let status = deployment
            .wait_for(node, "/v1/admin/catalogue/status", |status| {
                status["applied"] == json!(2)
            })
            .await;
        assert_eq!(status["applied"], json!(2));
    }
}

#[tokio::test]
async fn restarted_and_resumed_nodes_apply_the_newest_generation() {
    let mut deployment = Deployment::start(3).await;
    deployment.nodes[2].kill();
    deployment.nodes[1].signal(Signal::SIGSTOP);
    let file = write_variant("newest");
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
            .wait_for(node, "/v1/admin/catalogue/status", |status| {
                status["applied"] == json!(2)
            })
            .await;
    }
}

#[tokio::test]
async fn node_started_during_an_outage_gets_the_catalogue_from_its_peers() {
    let deployment = Deployment::start(2).await;
    deployment
        .set_faults(&deployment.kv, json!({"outage": "unavailable"}))
        .await;
    let joined = deployment.start_node(2);
    deployment
        .wait_for(&joined, "/v1/admin/catalogue/status", |status| {
            status["applied"] == json!(1)
        })
        .await;
}
