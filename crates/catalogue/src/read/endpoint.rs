//! Reading an endpoint.

use super::cursor::{Cursor, Placed};
use super::names::{self, Names};
use super::{limits, route, share};
use crate::{Endpoint, Fencing, Kind, Limits, Route, Share};
use base::Name;

/// Longest latency target, in milliseconds.
const LATENCY_MAX_MS: u64 = 600_000;

const KINDS: [(&str, Kind); 2] = [("engine", Kind::Engine), ("service", Kind::Service)];

const FENCINGS: [(&str, Fencing); 2] = [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];

pub fn read(cursor: &mut Cursor<'_>, names: &mut Names) -> Option<Endpoint> {
    let name = cursor.placed_name("name");
    let owner = cursor.text("owner");
    let kind = cursor.choice("kind", &KINDS);
    let class = cursor.placed_name("class");
    let fencing = cursor.choice("fencing", &FENCINGS);
    let latency_target_ms = cursor.number("latency_target_ms", 1..=LATENCY_MAX_MS);
    let limits = cursor.table("limits", limits::read);
    let versions = cursor.placed_names("versions");
    let stable = cursor.placed_name("stable");
    let routes = cursor.tables("route", route::read);
    let shares = cursor.tables("share", |table| share::read(table, names));
    note_names(names, name.as_ref(), class.as_ref(), &versions, stable.as_ref());
    check_routes(cursor, &routes);
    check_shares(cursor, &shares);
    check_times(cursor, latency_target_ms, limits.as_ref());
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

fn note_names(
    names: &mut Names,
    name: Option<&Placed<Name>>,
    class: Option<&Placed<Name>>,
    versions: &[Placed<Name>],
    stable: Option<&Placed<Name>>,
) {
    if let Some(class) = class {
        names.refer(names::Kind::Class, class);
    }
    let Some(name) = name else { return };
    names.declare(names::Kind::Endpoint, name);
    for version in versions {
        names.declare(names::Kind::Version(name.value.clone()), version);
    }
    if let Some(stable) = stable {
        names.refer(names::Kind::Version(name.value.clone()), stable);
    }
}

fn check_routes(cursor: &mut Cursor<'_>, routes: &[Route]) {
    let offset = cursor.offset();
    if routes.is_empty() && !cursor.has("route") {
        cursor.warn(
            offset,
            "the endpoint has no [[endpoint.route]], so nobody can call it",
        );
    }
    for (index, route) in routes.iter().enumerate() {
        let same = |other: &Route| other.method == route.method && other.path == route.path;
        if routes[..index].iter().any(same) {
            let message = format!("route {} {} stands twice; remove one", route.method, route.path);
            cursor.error(offset, &message);
        }
    }
}

fn check_shares(cursor: &mut Cursor<'_>, shares: &[Share]) {
    let offset = cursor.offset();
    if shares.is_empty() && !cursor.has("share") {
        cursor.warn(
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
            cursor.error(offset, &message);
        }
    }
}

fn check_times(cursor: &mut Cursor<'_>, latency_target_ms: Option<u64>, limits: Option<&Limits>) {
    if let (Some(target), Some(limits)) = (latency_target_ms, limits)
        && limits.timeout_ms < target
    {
        cursor.warn(
            cursor.offset(),
            "'timeout_ms' is shorter than the latency target; requests end before it",
        );
    }
}
