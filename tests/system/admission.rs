//! Admission of requests: freed slots, shares of a workspace's limit, and refused requests.

use std::time::Duration;

use reqwest::StatusCode;
use serde_json::{Value, json};

use crate::deployment::{Deployment, WORKSPACE_TOKEN};

#[tokio::test]
async fn slots_are_freed_when_callers_disconnect() {
    let deployment = Deployment::start(1).await;
    for service in &deployment.services {
        deployment.set_faults(service, json!({"slow_ms": 20_000})).await;
    }
    let node = &deployment.nodes[0];
    let url = format!("{}/v1/endpoints/ledger/balance/pupil", node.url());
    let requests = (0..20).map(|_caller| {
        let request = deployment
            .client
            .get(&url)
            .bearer_auth(WORKSPACE_TOKEN)
            .timeout(Duration::from_millis(300));
        request.send()
    });
    for result in futures::future::join_all(requests).await {
        assert!(result.is_err(), "the request should time out");
    }
    let is_idle = |list: &Value| {
        list.as_array()
            .is_some_and(|list| list.iter().all(|replica| replica["in_flight"] == json!(0)))
    };
    deployment.wait_for(node, "/v1/admin/replicas", is_idle).await;
}

/// Returns a node's share of the demo workspace's limit of 96 requests in flight at the ledger, or 0 if unknown.
async fn workspace_share(deployment: &Deployment, node: usize) -> f64 {
    let url = format!("{}/metrics", deployment.nodes[node].url());
    let text = deployment
        .client
        .get(url)
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    let is_ledger =
        |line: &&str| line.starts_with("bilberrylatch_workspace_share") && line.contains("ledger");
    let line = text.lines().find(is_ledger).unwrap_or_default();
    line.rsplit(' ')
        .next()
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

#[tokio::test]
async fn shares_of_a_limit_never_exceed_it_when_nodes_join() {
    const LIMIT: f64 = 96.0;
    let mut deployment = Deployment::start(1).await;
    for count in 2..=4_usize {
        let node = deployment.start_node(count - 1);
        deployment.nodes.push(node);
        deployment.wait_until_ready().await;
        let mut shares = Vec::new();
        for _attempt in 0..100 {
            shares.clear();
            for node in 0..count {
                shares.push(workspace_share(&deployment, node).await);
            }
            if shares.iter().all(|share| *share > 0.0) && shares.iter().sum::<f64>() <= LIMIT {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert!(shares.iter().sum::<f64>() <= LIMIT, "{shares:?}");
    }
}

/// A request that must be refused before it reaches a replica, and the expected status and problem title.
struct Case {
    method: &'static str,
    path: &'static str,
    token: &'static str,
    status: StatusCode,
    title: &'static str,
}

const CASES: [Case; 6] = [
    Case {
        method: "GET",
        path: "/v1/endpoints/ledger/balance/x",
        token: "guess",
        status: StatusCode::UNAUTHORIZED,
        title: "unauthorized",
    },
    Case {
        method: "GET",
        path: "/v1/endpoints/nowhere/balance/x",
        token: WORKSPACE_TOKEN,
        status: StatusCode::NOT_FOUND,
        title: "no-endpoint",
    },
    Case {
        method: "DELETE",
        path: "/v1/endpoints/ledger/balance/x",
        token: WORKSPACE_TOKEN,
        status: StatusCode::NOT_FOUND,
        title: "no-route",
    },
    Case {
        method: "POST",
        path: "/v1/endpoints/ledger/topup",
        token: WORKSPACE_TOKEN,
        status: StatusCode::BAD_REQUEST,
        title: "key-missing",
    },
    Case {
        method: "GET",
        path: "/v1/admin/nodes",
        token: WORKSPACE_TOKEN,
        status: StatusCode::UNAUTHORIZED,
        title: "unauthorized",
    },
    Case {
        method: "PUT",
        path: "/v1/admin/catalogue?expected=1&id=x&author=x",
        token: WORKSPACE_TOKEN,
        status: StatusCode::UNAUTHORIZED,
        title: "unauthorized",
    },
];

#[tokio::test]
async fn invalid_requests_are_refused_as_not_run() {
    let deployment = Deployment::start(1).await;
    for case in CASES {
        let url = format!("{}{}", deployment.nodes[0].url(), case.path);
        let method = case.method.parse().unwrap();
        let request = deployment
            .client
            .request(method, url)
            .bearer_auth(case.token)
            .body("{}");
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), case.status, "{}", case.path);
        assert_eq!(response.headers()["bilberrylatch-outcome"], "not-run");
        let problem: Value = response.json().await.unwrap();
        assert_eq!(problem["title"], json!(case.title));
    }
    assert_eq!(deployment.runs().await.len(), 0);
}
