//! The shares in force, as a controller announces them.

use base::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Id, Share, Stage};

/// The new version's share a route, with the generation of the record that holds them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// The rollout.
    pub rollout: Id,
    /// The endpoint.
    pub endpoint: Name,
    /// The version that served before.
    pub from: Name,
    /// The version moved to.
    pub to: Name,
    /// Generation of the stored record; a node ignores anything not above what it has.
    pub generation: u64,
    /// Where the rollout stands.
    pub stage: Stage,
    /// Shares of routes that have one of their own.
    pub routes: IndexMap<Name, Share>,
    /// Share of every other route.
    #[serde(rename = "rest")]
    pub default_share: Share,
}

impl Shares {
    /// The new version's share on `route`.
    pub fn get(&self, route: &Name) -> Share {
        self.routes.get(route).copied().unwrap_or(self.default_share)
    }
}
