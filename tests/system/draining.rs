//! A replica under a reclaim notice gets no new requests after a few seconds, even if the VM list lags or the
//! key-value store is down.

use std::time::Duration;

use serde_json::{Value, json};

use crate::deployment::Deployment;

/// Longest time from the notice to the last new request.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(5);

async fn count_runs(deployment: &Deployment, index: usize) -> usize {
    let url = format!("{}/admin/runs?after=0", deployment.services[index].url());
    let runs: Vec<Value> = deployment
        .client
        .get(url)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    runs.len()
}

async fn send_balance_checks(deployment: &Deployment, count: usize) {
    for index in 0..count {
        let node = &deployment.nodes[index % deployment.nodes.len()];
        let url = format!("{}/v1/endpoints/ledger/balance/pupil", node.url());
        let response = deployment
            .client
            .get(url)
            .bearer_auth(crate::deployment::WORKSPACE_TOKEN)
            .send()
            .await
            .unwrap();
        assert!(response.status().is_success());
    }
}

/// Faults of the platform during the notice.
struct Case {
    cloud_faults: fn() -> Value,
    kv_faults: fn() -> Value,
}

const CASES: [Case; 2] = [
    Case {
        cloud_faults: || json!({"lag_ms": 60_000}),
        kv_faults: || json!({}),
    },
    Case {
        cloud_faults: || json!({"lag_ms": 60_000}),
        kv_faults: || json!({"outage": "unavailable"}),
    },
];

#[tokio::test]
async fn replica_under_notice_gets_no_new_requests() {
    for case in CASES {
        let deployment = Deployment::start(3).await;
        deployment
            .set_faults(&deployment.cloud, (case.cloud_faults)())
            .await;
        deployment.set_faults(&deployment.kv, (case.kv_faults)()).await;
        send_balance_checks(&deployment, 30).await;
        assert!(count_runs(&deployment, 0).await > 0);
        let url = format!("{}/admin/vms/ledger-0/notice", deployment.cloud.url());
        deployment
            .client
            .post(url)
            .json(&json!({"notice_ms": 60_000}))
            .send()
            .await
            .unwrap();
        tokio::time::sleep(MAX_DRAIN_DELAY).await;
        let before = count_runs(&deployment, 0).await;
        send_balance_checks(&deployment, 60).await;
        assert_eq!(
            count_runs(&deployment, 0).await,
            before,
            "a draining replica got new requests"
        );
    }
}
