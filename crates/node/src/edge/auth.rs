//! Authentication of callers and operators.

use base::Name;
use http::{HeaderMap, StatusCode, header};

use super::Problem;
use crate::shared::Shared;

/// Prefix of bearer tokens (RFC 6750).
const BEARER: &str = "Bearer ";

/// Authenticates a caller; returns its workspace.
pub fn workspace(shared: &Shared, headers: &HeaderMap) -> Result<Name, Problem> {
    let unknown = || {
        Problem::new(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "send the workspace's token as 'Authorization: Bearer TOKEN'",
        )
        .counted()
    };
    let token = token(headers).ok_or_else(unknown)?;
    let snapshot = shared.snapshot();
    let catalogue = snapshot.catalogue.as_ref().ok_or_else(no_catalogue)?;
    catalogue
        .authenticate(token)
        .map(|workspace| workspace.name.clone())
        .ok_or_else(unknown)
}

/// Checks that the request carries the operators' token.
pub fn operator(shared: &Shared, headers: &HeaderMap) -> Result<(), Problem> {
    let digest = token(headers).map(digest_of);
    if digest == Some(digest_of(&shared.settings.operator_token)) {
        return Ok(());
    }
    let detail = "send the operators' token as 'Authorization: Bearer TOKEN'";
    Err(Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", detail).counted())
}

/// Refusal while this node has no catalogue.
pub fn no_catalogue() -> Problem {
    const RETRY_AFTER: base::Millis = base::Millis::from_secs(2);
    let detail = "this node has no catalogue yet; apply one, or come back when it has caught up";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "no-catalogue", detail)
        .with_retry_after(RETRY_AFTER)
        .counted()
}

fn token(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(header::AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix(BEARER)
}

/// NB: comparing digests instead of tokens keeps the timing from revealing the token.
fn digest_of(token: &str) -> blake3::Hash {
    blake3::hash(token.as_bytes())
}
