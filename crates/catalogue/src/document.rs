//! The whole catalogue.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::{Class, Endpoint, Finding, Findings, Severity, Workspace};

/// All that operators declare: the deployment, its workspaces, VM classes and endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// Name of the deployment.
    pub deployment: Name,
    /// Region that it runs in.
    pub region: Name,
    /// Its availability zones.
    pub zones: Vec<Name>,
    /// The workspaces.
    #[serde(default, rename = "workspace")]
    pub workspaces: Vec<Workspace>,
    /// VM classes with their prices.
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
    /// The endpoints.
    #[serde(default, rename = "endpoint")]
    pub endpoints: Vec<Endpoint>,
}

impl Catalogue {
    /// Reads a catalogue from its TOML text.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        toml::from_str(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            let mut findings = Findings::new();
            findings.push(Finding::new(
                Severity::Error,
                text,
                offset,
                error.message().to_owned(),
            ));
            findings
        })
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
