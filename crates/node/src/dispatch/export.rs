//! Exports a stream's KV cache from a leaving replica, so that fewer tokens are recomputed elsewhere.

use std::time::Duration;

use serde_json::{Value, json};

use super::header;
use crate::actor::traffic::Target;
use crate::shared::Shared;

/// Timeout of an export; the stream continues in the meantime.
const EXPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// KV cache as exported by an engine; opaque to this system.
#[derive(Clone, Debug)]
pub struct Export(pub Value);

/// Exports the KV cache of a dispatch; returns `None` if that fails.
pub async fn fetch(shared: &Shared, target: &Target) -> Option<Export> {
    let url = format!("{}/v1/kv/export", target.url);
    let body = json!({"dispatch": header::dispatch_id(shared.incarnation, target.dispatch)});
    let request = shared.http.post(url).json(&body).timeout(EXPORT_TIMEOUT);
    let response = request.send().await.ok()?.error_for_status().ok()?;
    let export = response.json().await.ok()?;
    metrics::counter!("bilberrylatch_exports_total").increment(1);
    Some(Export(export))
}
