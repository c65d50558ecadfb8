//! Admission and routing of requests.

use std::sync::Arc;

use base::Millis;
use http::request;
use rand::RngExt;
use table::{Access, Residency};

use super::call::{Call, suspects};
use super::inbound::{host, origin_form, strip_connection};
use super::{Reason, log};
use crate::Shared;
use crate::edge::RequestHead;
use crate::intake::Payload;

/// Checks a request against the view and returns it with its route.
pub(super) fn admit(
    shared: &Shared,
    head: request::Parts,
    request_head: RequestHead,
    body: Payload,
    received: Millis,
) -> Result<Call, Reason> {
    let view = shared.view();
    let Some(table) = view.table.clone() else {
        return Err(Reason::NoConfiguration);
    };
    let host = host(&head);
    let is_fresh = view
        .freshness
        .is_within(shared.now(), shared.settings().key_revocation_time);
    let Some(matched) = table.route(host, head.uri.path()) else {
        return Err(if is_fresh {
            Reason::NoRoute
        } else {
            Reason::StaleView
        });
    };
    let index = matched.index;
    let workspace = match table.access(matched.route, request_head.key.as_deref()) {
        Access::Public => None,
        // An API key may have been removed or added since the view was last confirmed.
        _ if !is_fresh => return Err(Reason::StaleView),
        Access::Denied => return Err(Reason::Denied),
        Access::Workspace(workspace) => table.workspaces().iter().position(|it| it == workspace),
    };
    let mut generator = rand::rng();
    let Some(endpoint) = matched.route.select_endpoint(generator.random()).cloned() else {
        return Err(Reason::NoRoute);
    };
    let versions = view.rollouts.versions(&endpoint, generator.random());
    drop(view);
    let timeout = request_head.timeout.unwrap_or(Millis::NEVER);
    let deadline = received + timeout.min(matched.route.timeout);
    let deadline = shared
        .answer_deadline(matched.route, deadline)
        .ok_or(Reason::Leaving)?;
    let mut headers = head.headers;
    strip_connection(&mut headers);
    let uri = origin_form(&head.uri);
    let suspects = {
        let workspace = workspace.map_or("", |index| &*table.workspaces()[index].name);
        let head = (&head.method, &uri, &headers);
        suspects(head, workspace.as_bytes(), &body, request_head.shared_parts())
    };
    let zones = {
        let workspace = workspace.map(|index| &table.workspaces()[index]);
        shared.allowed_zones(&Residency::new(matched.route, workspace))
    };
    let call = Call {
        request_head,
        method: head.method,
        uri,
        headers,
        body,
        received,
        deadline,
        route: index,
        workspace,
        endpoint,
        versions,
        zones,
        table: Arc::clone(&table),
        suspects,
    };
    if let Some(wait) = shared.blocked_for(&call.suspects) {
        log::blocked(&call, wait);
        return Err(Reason::Poison(wait));
    }
    if let Some(workspace) = call.workspace() {
        shared
            .acquire_quota(workspace, call.class(), call.token_cost())
            .map_err(|denial| {
                let wait = call.retry_after(shared.now(), denial.wait);
                log::over_limit(shared, &call, &denial, wait);
                Reason::OverLimit(wait)
            })?;
    }
    Ok(call)
}
