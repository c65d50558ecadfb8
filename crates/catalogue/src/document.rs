//! The whole catalogue.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::{Class, Endpoint, Findings, Workspace, read};

/// All that operators declare: the deployment, its workspaces, VM classes and endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Name of the deployment.
    pub deployment: Name,
    /// Region that it runs in.
    pub region: Name,
    /// Its availability zones.
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
    /// Reads a catalogue from its TOML text; the findings are all errors and warnings, if any is an error.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let checked = read::check(text);
        checked.catalogue.ok_or(checked.findings)
    }

    /// The endpoint called `name`.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints
            .iter()
            .find(|endpoint| endpoint.name.as_str() == name)
    }

    /// The workspace whose token is `token`.
    pub fn authenticate(&self, token: &str) -> Option<&Workspace> {
        let digest = crate::token::digest(token);
        self.workspaces
            .iter()
            .find(|workspace| workspace.token_digest == digest)
    }
}
