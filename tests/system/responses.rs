//! Every caller gets the response to its own request, even if replicas return the response to another request.

use serde_json::{Value, json};

use crate::deployment::{Deployment, WORKSPACE_TOKEN};

/// Number of concurrent callers, each with its own account.
const CALLERS: usize = 16;

/// Number of balance checks per caller.
const CHECKS_PER_CALLER: usize = 20;

/// Probability that a ledger replica returns its previous response, in parts per million.
const CROSSED_PPM: u32 = 200_000;

async fn check_balance(deployment: &Deployment, caller: usize, round: usize) -> Option<Value> {
    let node = &deployment.nodes[(caller + round) % deployment.nodes.len()];
    let url = format!("{}/v1/endpoints/ledger/balance/pupil-{caller}", node.url());
    let request = deployment.client.get(url).bearer_auth(WORKSPACE_TOKEN);
    let response = request.send().await.unwrap();
    if !response.status().is_success() {
        return None;
    }
    Some(response.json().await.unwrap())
}

#[tokio::test]
async fn crossed_responses_never_reach_a_caller() {
    let deployment = Deployment::start(3).await;
    for service in &deployment.services {
        let faults = json!({"crossed": {"ppm": CROSSED_PPM}});
        deployment.set_faults(service, faults).await;
    }
    let caller = |caller: usize| {
        let deployment = &deployment;
        async move {
            let mut successes = 0;
            for round in 0..CHECKS_PER_CALLER {
                let Some(answer) = check_balance(deployment, caller, round).await else {
                    continue;
                };
                assert_eq!(answer["account"], json!(format!("pupil-{caller}")));
                successes += 1;
            }
            successes
        }
    };
    let successes: Vec<usize> = futures::future::join_all((0..CALLERS).map(caller)).await;
    assert!(successes.iter().sum::<usize>() > 0, "no request succeeded");
}
