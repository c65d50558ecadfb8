//! Top-ups under a key, and what their answers say.

use reqwest::Response;
use serde_json::json;

use crate::deployment::Deployment;
use crate::process::Process;

/// Sends one top-up under `key`, the same each time.
pub async fn top_up(deployment: &Deployment, node: &Process, key: &str) -> Response {
    let body = json!({"account": "pupil", "amount": 250});
    let request = deployment
        .workspace_request(node, "ledger", "topup")
        .header("idempotency-key", key)
        .json(&body);
    request.send().await.expect("an answer")
}

/// What the answer says that the caller may conclude.
pub fn outcome(response: &Response) -> String {
    response.headers()["bilberrylatch-outcome"]
        .to_str()
        .unwrap()
        .to_owned()
}
