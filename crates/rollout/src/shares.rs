//! Shares in force, as announced by a controller.

use base::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Id, Share, Stage};

/// Share of the new version on each route, with the generation of the record they come from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// Id of the rollout.
    pub rollout: Id,
    /// Endpoint whose traffic is split.
    pub endpoint: Name,
    /// Version that served before the rollout.
    pub from: Name,
    /// Version to move to.
    pub to: Name,
    /// Generation of the stored record. A node ignores shares whose generation is not greater than its own.
    pub generation: u64,
    /// Stage of the rollout.
    pub stage: Stage,
    /// Shares of individual routes.
    pub routes: IndexMap<Name, Share>,
    /// Share of every other route.
    #[serde(rename = "rest")]
    pub default_share: Share,
}

impl Shares {
    /// Share of the new version on `route`.
    pub fn get(&self, route: &Name) -> Share {
        self.routes.get(route).copied().unwrap_or(self.default_share)
    }
}
