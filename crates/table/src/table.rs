//! The routing table of one configuration.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};

use crate::{Access, Endpoint, Limits, Route, Workspace};

/// The route that matches a request.
#[derive(Clone, Copy, Debug)]
pub struct Match<'a> {
    /// Index of the route in [`Table::routes`].
    pub index: usize,
    /// The matching route.
    pub route: &'a Route,
}

/// One configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: u64,
    limits: Limits,
    routes: Vec<Route>,
    endpoints: IndexMap<Arc<str>, Endpoint>,
    workspaces: Vec<Workspace>,
    /// Indices of routes by lowercase host, longest path prefix first.
    hosts: IndexMap<String, Vec<usize>>,
    /// Indices of workspaces by API key.
    keys: IndexMap<Bytes, usize>,
    /// Endpoints whose routes have different priorities.
    mixed_endpoints: IndexSet<Arc<str>>,
    /// Whether a workspace has a limit or a priority of its own.
    has_unequal_workspaces: bool,
}

impl Table {
    /// Creates an empty table for a version of the configuration.
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Sets the limits on requests and connections from callers.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the routes and builds their index by host.
    pub fn with_routes(mut self, routes: Vec<Route>) -> Self {
        self.hosts.clear();
        for (index, route) in routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            self.hosts.entry(host).or_default().push(index);
        }
        for indices in self.hosts.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].path_prefix.len()));
        }
        self.mixed_endpoints = mixed_endpoints(&routes);
        self.routes = routes;
        self
    }

    /// Sets the endpoints.
    pub fn with_endpoints(mut self, endpoints: Vec<Endpoint>) -> Self {
        let by_name = endpoints.into_iter().map(|it| (Arc::clone(&it.name), it));
        self.endpoints = by_name.collect();
        self
    }

    /// Sets the workspaces and builds the index by API key.
    pub fn with_workspaces(mut self, workspaces: Vec<Workspace>) -> Self {
        self.keys.clear();
        for (index, workspace) in workspaces.iter().enumerate() {
            let keys = workspace.keys.iter().cloned();
            self.keys.extend(keys.map(|key| (key, index)));
        }
        let is_unequal = |it: &Workspace| it.rate > 0.0 || it.priority.is_some();
        self.has_unequal_workspaces = workspaces.iter().any(is_unequal);
        self.workspaces = workspaces;
        self
    }

    /// The configuration's version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Limits on requests and connections from callers.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// All workspaces.
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }

    /// Looks an endpoint up by name.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// The routes of a host. Case and port of the host are ignored.
    pub fn routes_of(&self, host: &str) -> impl Iterator<Item = &Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let indices = self.hosts.get(&name.to_ascii_lowercase());
        indices.into_iter().flatten().map(|index| &self.routes[*index])
    }

    /// Whether requests to an endpoint differ in urgency: a workspace has a limit or a priority of its own, or the endpoint's
    /// routes have different priorities.
    pub fn is_contended(&self, endpoint: &str) -> bool {
        self.has_unequal_workspaces || self.mixed_endpoints.contains(endpoint)
    }

    /// Finds the route of the host with the longest matching path prefix. Case and port of the host are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<Match<'_>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let indices = match self.hosts.get(name) {
            Some(indices) => indices,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let index = indices
            .iter()
            .copied()
            .find(|index| path.starts_with(&self.routes[*index].path_prefix))?;
        let route = &self.routes[index];
        Some(Match { index, route })
    }

    /// Decides whether an API key gives access to a route. If no workspaces are configured, all routes are public.
    pub fn access(&self, route: &Route, key: Option<&[u8]>) -> Access<'_> {
        if route.public || self.workspaces.is_empty() {
            return Access::Public;
        }
        let Some(index) = key.and_then(|key| self.keys.get(key)) else {
            return Access::Denied;
        };
        Access::Workspace(&self.workspaces[*index])
    }
}

fn mixed_endpoints(routes: &[Route]) -> IndexSet<Arc<str>> {
    let mut priorities: IndexMap<&Arc<str>, u8> = IndexMap::new();
    let mut mixed = IndexSet::new();
    for route in routes {
        for target in &route.targets {
            let first = priorities.entry(&target.endpoint).or_insert(route.priority);
            if *first != route.priority {
                mixed.insert(Arc::clone(&target.endpoint));
            }
        }
    }
    mixed
}
