//! Sends top-ups under an idempotency key and reads their outcomes.

use reqwest::Response;
use serde_json::json;

use crate::deployment::Deployment;
use crate::process::Process;

/// Sends a top-up under `key`, with the same body each time.
pub async fn top_up(deployment: &Deployment, node: &Process, key: &str) -> Response {
    let body = json!({"account": "pupil", "amount": 250});
    let request = deployment
        .workspace_request(node, "ledger", "topup")
        .header("idempotency-key", key)
        .json(&body);
    request.send().await.expect("the node should respond")
}

/// Returns the outcome of the request as the response headers report it.
pub fn outcome(response: &Response) -> String {
    response.headers()["bilberrylatch-outcome"]
        .to_str()
        .unwrap()
        .to_owned()
}
