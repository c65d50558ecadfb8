//! Reads an endpoint.

use super::names::{self, Names};
use super::reader::{Located, Reader};
use super::{limits, route, share};
use crate::{Endpoint, Fencing, Kind, Limits, Route, Share};
use base::Name;

/// Maximum latency target, in milliseconds.
const MAX_LATENCY_TARGET_MS: u64 = 600_000;

const KINDS: [(&str, Kind); 2] = [("engine", Kind::Engine), ("service", Kind::Service)];

const FENCINGS: [(&str, Fencing); 2] = [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];

pub fn read(reader: &mut Reader<'_>, names: &mut Names) -> Option<Endpoint> {
    let name = reader.located_name("name");
    let owner = reader.text("owner");
    let kind = reader.choice("kind", &KINDS);
    let class = reader.located_name("class");
    let fencing = reader.choice("fencing", &FENCINGS);
    let latency_target_ms = reader.number("latency_target_ms", 1..=MAX_LATENCY_TARGET_MS);
    let limits = reader.table("limits", limits::read);
    let versions = reader.located_names("versions");
    let stable = reader.located_name("stable");
    let routes = reader.tables("route", route::read);
    let shares = reader.tables("share", |table| share::read(table, names));
    register_names(names, name.as_ref(), class.as_ref(), &versions, stable.as_ref());
    check_routes(reader, &routes);
    check_shares(reader, &shares);
    check_timeout(reader, latency_target_ms, limits.as_ref());
    Some(Endpoint {
        name: name?.value,
        owner: owner?.value,
        kind: kind?,
        class: class?.value,
        fencing: fencing?,
        latency_target_ms: latency_target_ms?,
        limits: limits?,
        versions: versions.into_iter().map(|version| version.value).collect(),
        stable: stable?.value,
        routes,
        shares,
    })
}

fn register_names(
    names: &mut Names,
    name: Option<&Located<Name>>,
    class: Option<&Located<Name>>,
    versions: &[Located<Name>],
    stable: Option<&Located<Name>>,
) {
    if let Some(class) = class {
        names.reference(names::Kind::Class, class);
    }
    let Some(name) = name else { return };
    names.declare(names::Kind::Endpoint, name);
    for version in versions {
        names.declare(names::Kind::Version(name.value.clone()), version);
    }
    if let Some(stable) = stable {
        names.reference(names::Kind::Version(name.value.clone()), stable);
    }
}

fn check_routes(reader: &mut Reader<'_>, routes: &[Route]) {
    let offset = reader.offset();
    if routes.is_empty() && !reader.has("route") {
        reader.warn(
            offset,
            "the endpoint has no [[endpoint.route]], so nobody can call it",
        );
    }
    for (index, route) in routes.iter().enumerate() {
        let is_duplicate = |other: &Route| other.method == route.method && other.path == route.path;
        if routes[..index].iter().any(is_duplicate) {
            let message = format!("route {} {} stands twice; remove one", route.method, route.path);
            reader.error(offset, &message);
        }
    }
}

fn check_shares(reader: &mut Reader<'_>, shares: &[Share]) {
    let offset = reader.offset();
    if shares.is_empty() && !reader.has("share") {
        reader.warn(
            offset,
            "the endpoint has no [[endpoint.share]], so no workspace may use it",
        );
    }
    for (index, share) in shares.iter().enumerate() {
        if shares[..index]
            .iter()
            .any(|other| other.workspace == share.workspace)
        {
            let message = format!("workspace '{}' has two shares; remove one", share.workspace);
            reader.error(offset, &message);
        }
    }
}

fn check_timeout(reader: &mut Reader<'_>, latency_target_ms: Option<u64>, limits: Option<&Limits>) {
    if let (Some(target), Some(limits)) = (latency_target_ms, limits)
        && limits.timeout_ms < target
    {
        reader.warn(
            reader.offset(),
            "'timeout_ms' is shorter than the latency target; requests end before it",
        );
    }
}
