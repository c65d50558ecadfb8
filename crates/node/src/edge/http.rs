//! HTTP routes for callers and operators.

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{any, get, post};

use super::{addresses, admin, call, keys};
use crate::shared::Shared;

/// Maximum size of an operator's request body, in bytes.
const ADMIN_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Builds the router with all routes.
pub fn router(shared: Shared) -> Router {
    let callers = Router::new()
        .route("/v1/addresses", get(addresses::handle))
        .route("/v1/endpoints/{endpoint}/keys", post(keys::handle))
        .route("/v1/endpoints/{endpoint}/{*path}", any(call::handle));
    let operators = Router::new()
        .route("/v1/admin/keys", get(admin::keys::show))
        .route("/v1/admin/nodes", get(admin::lists::nodes))
        .route("/v1/admin/replicas", get(admin::lists::replicas))
        .route(
            "/v1/admin/catalogue",
            get(admin::catalogue::show).put(admin::catalogue::apply),
        )
        .route("/v1/admin/catalogue/status", get(admin::catalogue::status))
        .route(
            "/v1/admin/rollouts/{endpoint}",
            get(admin::rollouts::status).post(admin::rollouts::declare),
        )
        .route("/v1/admin/rollouts/{endpoint}/undo", post(admin::rollouts::undo))
        .layer(DefaultBodyLimit::max(ADMIN_BODY_BYTES));
    let open = Router::new()
        .route("/metrics", get(admin::metrics::render))
        .route("/healthz", get(health));
    callers.merge(operators).merge(open).with_state(shared)
}

/// Reports that the process runs. Whether it serves is shown by the metrics.
async fn health() -> &'static str {
    "ok\n"
}
