//! The complete catalogue.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::{Class, Endpoint, Findings, Workspace, read};

/// The operators' declaration of a deployment, its workspaces, VM classes and endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Name of the deployment.
    pub deployment: Name,
    /// Region that the deployment runs in.
    pub region: Name,
    /// Availability zones of the deployment.
    pub zones: Vec<Name>,
    /// The workspaces.
    #[serde(rename = "workspace")]
    pub workspaces: Vec<Workspace>,
    /// VM classes with their prices.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The endpoints.
    #[serde(rename = "endpoint")]
    pub endpoints: Vec<Endpoint>,
}

impl Catalogue {
    /// Parses a catalogue from its TOML text. If there is an error, returns all errors and warnings.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let checked = read::check(text);
        checked.catalogue.ok_or(checked.findings)
    }

    /// Returns the endpoint called `name`.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints
            .iter()
            .find(|endpoint| endpoint.name.as_str() == name)
    }

    /// Returns the workspace that `token` belongs to.
    pub fn authenticate(&self, token: &str) -> Option<&Workspace> {
        let digest = crate::token::digest(token);
        self.workspaces
            .iter()
            .find(|workspace| workspace.token_digest == digest)
    }
}
