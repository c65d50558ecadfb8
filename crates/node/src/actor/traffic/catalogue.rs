//! Applies catalogues to routing.

use std::sync::Arc;

use base::Name;
use catalogue::{Catalogue, Endpoint, Kind};
use indexmap::IndexMap;
use kameo::message::{Context, Message};
use rollout::guard;
use route::Event;
use route::{endpoint, workspace};

use super::{EndpointWorkspace, Traffic};

/// Applies a catalogue.
#[derive(Clone, Debug)]
pub struct Apply {
    /// Catalogue to apply.
    pub catalogue: Arc<Catalogue>,
    /// Number of nodes that share the workspaces' limits.
    pub nodes: u32,
}

impl Message<Apply> for Traffic {
    type Reply = ();

    async fn handle(&mut self, apply: Apply, _context: &mut Context<Self, Self::Reply>) {
        self.nodes = apply.nodes.max(1);
        self.step_guard(guard::Event::Nodes(self.nodes));
        self.apply_endpoints(&apply.catalogue);
        self.apply_workspaces(&apply.catalogue);
        self.catalogue = Some(apply.catalogue);
        self.reconcile();
    }
}

/// Sets the number of nodes, which changes this node's part of the workspaces' limits.
#[derive(Clone, Copy, Debug)]
pub struct Resize(pub u32);

impl Message<Resize> for Traffic {
    type Reply = ();

    async fn handle(&mut self, resize: Resize, _context: &mut Context<Self, Self::Reply>) {
        let nodes = resize.0.max(1);
        if nodes == self.nodes {
            return;
        }
        self.nodes = nodes;
        self.step_guard(guard::Event::Nodes(nodes));
        if let Some(catalogue) = self.catalogue.clone() {
            self.apply_workspaces(&catalogue);
        }
    }
}

impl Traffic {
    /// Version that serves an endpoint while no rollout is in progress.
    pub(super) fn stable_version(&self, endpoint: &Name) -> Option<Name> {
        let endpoint = self.catalogue.as_ref()?.endpoint(endpoint.as_str())?;
        Some(endpoint.stable.clone())
    }

    fn apply_endpoints(&mut self, catalogue: &Catalogue) {
        let mut removed = std::mem::take(&mut self.endpoints);
        for endpoint in &catalogue.endpoints {
            let settings = endpoint_settings(endpoint);
            let key = match removed.swap_remove(&endpoint.name) {
                Some(key) => {
                    self.step(Event::EndpointChanged {
                        endpoint: key,
                        settings,
                    });
                    key
                }
                None => self.router.add_endpoint(settings),
            };
            self.endpoints.insert(endpoint.name.clone(), key);
        }
        for endpoint in removed.into_values() {
            self.step(Event::EndpointRemoved { endpoint });
        }
    }

    fn apply_workspaces(&mut self, catalogue: &Catalogue) {
        let mut removed = std::mem::take(&mut self.workspaces);
        let mut workspaces = IndexMap::new();
        for endpoint in &catalogue.endpoints {
            for share in &endpoint.shares {
                let pair = EndpointWorkspace {
                    endpoint: endpoint.name.clone(),
                    workspace: share.workspace.clone(),
                };
                let settings = self.workspace_settings(catalogue, endpoint, share);
                record_share(&pair, settings.share);
                let key = match removed.swap_remove(&pair) {
                    Some(workspace) => {
                        self.step(Event::WorkspaceChanged { workspace, settings });
                        workspace
                    }
                    None => self.router.add_workspace(settings),
                };
                workspaces.insert(pair, key);
            }
        }
        self.workspaces = workspaces;
        for workspace in removed.into_values() {
            self.step(Event::WorkspaceRemoved { workspace });
        }
    }

    fn workspace_settings(
        &self,
        catalogue: &Catalogue,
        endpoint: &Endpoint,
        share: &catalogue::Share,
    ) -> workspace::Settings {
        let weight = catalogue
            .workspaces
            .iter()
            .find(|w| w.name == share.workspace)
            .map_or(1, |w| w.weight.max(1));
        let node_share = (share.in_flight / self.nodes).max(1);
        workspace::Settings::new(node_share)
            .with_weight(weight)
            .with_retry_percent(endpoint.limits.retry_percent)
    }
}

fn record_share(pair: &EndpointWorkspace, share: u32) {
    let labels = [
        ("endpoint", pair.endpoint.to_string()),
        ("workspace", pair.workspace.to_string()),
    ];
    metrics::gauge!("bilberrylatch_workspace_share", &labels).set(f64::from(share));
}

fn endpoint_settings(endpoint: &Endpoint) -> endpoint::Settings {
    endpoint::Settings::new(endpoint.latency_target())
        .with_max_queue(endpoint.limits.queue)
        .with_retry_percent(endpoint.limits.retry_percent)
        .with_affinity(endpoint.kind == Kind::Engine)
}
