//! Taking a stream's KV cache along when its replica leaves, so that few tokens are computed again.

use std::time::Duration;

use serde_json::{Value, json};

use super::header;
use crate::actor::traffic::Target;
use crate::shared::Shared;

/// Time for an export; a stream goes on meanwhile.
const EXPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// A KV cache as an engine exports it; opaque to this system.
#[derive(Clone, Debug)]
pub struct Export(pub Value);

/// Exports the KV cache of a dispatch; none if the replica can't.
pub async fn fetch(shared: &Shared, target: &Target) -> Option<Export> {
    let url = format!("{}/v1/kv/export", target.url);
    let body = json!({"dispatch": header::dispatch(shared.incarnation, target.dispatch)});
    let request = shared.http.post(url).json(&body).timeout(EXPORT_TIMEOUT);
    let response = request.send().await.ok()?.error_for_status().ok()?;
    let export = response.json().await.ok()?;
    metrics::counter!("bilberrylatch_exports_total").increment(1);
    Some(Export(export))
}
