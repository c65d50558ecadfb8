//! Rollouts: a good version gets all traffic, a bad one is rolled back.

use std::cell::Cell;
use std::process::Output;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::deployment::{Deployment, WORKSPACE_TOKEN};

/// Arguments that start a rollout of the ledger with a generous deadline.
const START_ARGUMENTS: [&str; 8] = [
    "rollout",
    "start",
    "ledger",
    "v2",
    "--within-seconds",
    "40",
    "--watch-seconds",
    "2",
];

/// Number of concurrent requests.
const CONCURRENCY: usize = 24;

/// Time for this load to yield enough evidence against a version that always fails, and for the veto to reach every
/// node.
const VETO_DELAY: Duration = Duration::from_secs(5);

/// Starts a deployment whose ledger also runs a second version, with `faults` injected into it.
async fn start_with_second_version(faults: Value) -> Deployment {
    let deployment = Deployment::start(3).await;
    let text = std::fs::read_to_string(Deployment::catalogue_file()).unwrap();
    let text = text.replace("versions = [\"v1\"]", "versions = [\"v1\", \"v2\"]");
    let path = std::env::temp_dir().join(format!("bilberrylatch-{}-versions.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let applied = deployment.run_cli(&["catalogue", "apply", path.to_str().unwrap(), "--wait"]);
    assert!(
        applied.status.success(),
        "{}",
        String::from_utf8_lossy(&applied.stderr)
    );
    let deployment = deployment.with_ledger_replicas("v2", 2).await;
    for service in &deployment.services[2..] {
        deployment.set_faults(service, faults.clone()).await;
    }
    deployment.wait_until_ready().await;
    deployment
}

/// Result of a load: the output of the scenario that it ran beside, and the version that answered each request, `None`
/// if the request failed.
struct LoadResult {
    output: Output,
    versions: Vec<Option<String>>,
}

/// Sends balance checks through all nodes until `scenario` completes.
async fn run_load<S>(deployment: &Deployment, scenario: S) -> LoadResult
where
    S: Future<Output = Output>,
{
    let is_done = Cell::new(false);
    let is_done = &is_done;
    let worker = |index: usize| async move {
        let mut versions = Vec::new();
        loop {
            let node = &deployment.nodes[(index + versions.len()) % deployment.nodes.len()];
            let url = format!("{}/v1/endpoints/ledger/balance/pupil-{index}", node.url());
            let response = deployment
                .client
                .get(url)
                .bearer_auth(WORKSPACE_TOKEN)
                .send()
                .await
                .unwrap();
            let version = response
                .headers()
                .get("bilberrylatch-version")
                .map(|version| version.to_str().unwrap().to_owned());
            versions.push(version.filter(|_| response.status().is_success()));
            tokio::time::sleep(Duration::from_millis(2)).await;
            if is_done.get() {
                return versions;
            }
        }
    };
    let workers = futures::future::join_all((0..CONCURRENCY).map(worker));
    let run_scenario = async {
        let output = scenario.await;
        is_done.set(true);
        output
    };
    let (output, versions) = tokio::join!(run_scenario, workers);
    LoadResult {
        output,
        versions: versions.into_iter().flatten().collect(),
    }
}

/// Starts a rollout of the ledger and waits for its end without blocking the test's thread.
async fn run_rollout(deployment: &Deployment) -> Output {
    let timing = ["--within-seconds", "20", "--watch-seconds", "2"];
    let mut arguments = vec!["rollout", "start", "ledger", "v2"];
    arguments.extend(timing);
    let started = deployment.run_cli_async(&START_ARGUMENTS).await;
    assert!(
        started.status.success(),
        "{}",
        String::from_utf8_lossy(&started.stderr)
    );
    deployment
        .run_cli_async(&["rollout", "wait", "ledger", "--timeout-seconds", "60"])
        .await
}

#[tokio::test]
async fn good_version_gets_all_traffic_by_the_deadline() {
    let deployment = start_with_second_version(json!({})).await;
    let LoadResult { output, versions } = run_load(&deployment, run_rollout(&deployment)).await;
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(versions.iter().all(Option::is_some), "a request failed");
    let url = format!("{}/v1/endpoints/ledger/balance/after", deployment.nodes[0].url());
    let response = deployment
        .client
        .get(url)
        .bearer_auth(WORKSPACE_TOKEN)
        .send()
        .await
        .unwrap();
    assert_eq!(response.headers()["bilberrylatch-version"], "v2");
}

#[tokio::test]
async fn failing_version_is_rolled_back() {
    let deployment = start_with_second_version(json!({"bad": {"badness": {"fail": 500}}})).await;
    let LoadResult { output, versions } = run_load(&deployment, run_rollout(&deployment)).await;
    assert_eq!(
        output.status.code(),
        Some(1),
        "{}",
        String::from_utf8_lossy(&output.stdout)
    );
    assert!(String::from_utf8_lossy(&output.stderr).contains("undone"));
    let failed = versions.iter().filter(|version| version.is_none()).count();
    assert_eq!(
        failed, 0,
        "balance checks are idempotent and should be retried at another replica"
    );
    let bad = versions
        .iter()
        .flatten()
        .filter(|version| *version == "v2")
        .count();
    assert_eq!(bad, 0);
}

/// Returns how many requests the second version's replicas have run.
async fn count_runs_of_v2(deployment: &Deployment) -> usize {
    let mut sum = 0;
    for service in &deployment.services[2..] {
        let url = format!("{}/admin/runs?after=0", service.url());
        let runs: Vec<Value> = deployment
            .client
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap();
        sum += runs.len();
    }
    sum
}

#[tokio::test]
async fn version_failing_during_an_outage_is_vetoed_and_rolled_back_later() {
    let deployment = start_with_second_version(json!({})).await;
    let scenario = async {
        assert!(deployment.run_cli_async(&START_ARGUMENTS).await.status.success());
        while count_runs_of_v2(&deployment).await < 20 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        deployment
            .set_faults(&deployment.kv, json!({"outage": "unavailable"}))
            .await;
        for service in &deployment.services[2..] {
            deployment
                .set_faults(service, json!({"fail_after": {"ppm": 1_000_000}, "status": 500}))
                .await;
        }
        // Gives one node time to collect the evidence for a veto, and the veto time to reach the other nodes.
        tokio::time::sleep(VETO_DELAY).await;
        let before = count_runs_of_v2(&deployment).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(
            count_runs_of_v2(&deployment).await,
            before,
            "a vetoed version got requests"
        );
        deployment.set_faults(&deployment.kv, json!({})).await;
        deployment
            .run_cli_async(&["rollout", "wait", "ledger", "--timeout-seconds", "60"])
            .await
    };
    let LoadResult { output, versions } = run_load(&deployment, scenario).await;
    assert_eq!(
        output.status.code(),
        Some(1),
        "{}",
        String::from_utf8_lossy(&output.stdout)
    );
    assert!(versions.iter().all(Option::is_some), "a request failed");
}

#[tokio::test]
async fn rollout_survives_a_killed_node_and_refuses_a_second_operator() {
    let deployment = start_with_second_version(json!({})).await;
    let scenario = async {
        let first = [&START_ARGUMENTS[..], &["--operator", "anna"]].concat();
        assert!(deployment.run_cli_async(&first).await.status.success());
        let second = [&START_ARGUMENTS[..], &["--operator", "bea"]].concat();
        let refused = deployment.run_cli_async(&second).await;
        assert_eq!(refused.status.code(), Some(4));
        assert!(String::from_utf8_lossy(&refused.stderr).contains("'anna'"));
        deployment.nodes[2].signal(Signal::SIGKILL);
        deployment
            .run_cli_async(&["rollout", "wait", "ledger", "--timeout-seconds", "90"])
            .await
    };
    let output = scenario.await;
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

/// Delay of the slow version, well above the ledger's latency target.
const SLOW_DELAY_MS: u64 = 600;

/// Share of traffic that a version gets before there is evidence, in percent.
const CANARY_PERCENT: usize = 5;

/// Number of requests by which the slow version may exceed its share, as requests are assigned at random.
const SAMPLING_MARGIN: usize = 20;

#[tokio::test]
async fn slow_version_gets_only_the_canary_share_and_none_after_rollback() {
    let deployment = start_with_second_version(json!({"bad": {"badness": {"slow": SLOW_DELAY_MS}}})).await;
    let LoadResult { output, versions } = run_load(&deployment, run_rollout(&deployment)).await;
    assert_eq!(
        output.status.code(),
        Some(1),
        "{}",
        String::from_utf8_lossy(&output.stdout)
    );
    let slow = count_served_by(&versions, "v2");
    let all = versions.len();
    println!("requests served by the slow version: {slow} of {all}");
    assert!(slow > 0, "the slow version got no requests");
    assert!(
        slow <= all * CANARY_PERCENT / 100 + SAMPLING_MARGIN,
        "the slow version served {slow} of {all} requests"
    );
    let wait_for_end = async {
        let wait = ["rollout", "wait", "ledger", "--timeout-seconds", "60"];
        let output = deployment.run_cli_async(&wait).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        output
    };
    tokio::time::sleep(Duration::from_secs(3)).await;
    let LoadResult { versions, .. } = run_load(&deployment, wait_for_end).await;
    assert_eq!(count_served_by(&versions, "v2"), 0, "of {}", versions.len());
}

fn count_served_by(versions: &[Option<String>], name: &str) -> usize {
    let versions = versions.iter().flatten();
    versions.filter(|version| *version == name).count()
}
