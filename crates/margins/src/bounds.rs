//! The users' bounds, from a settings file or flags.

use indexmap::IndexMap;
use serde::Deserialize;

/// The users' bounds. One that is not given is not guessed: its rule has no verdict.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bounds {
    /// Time for which a replica that leaves may still get requests, in milliseconds.
    pub drain_ms: Option<f64>,
    /// Requests that may have no outcome.
    pub lost_requests: Option<f64>,
    /// Requests that may be in flight when a process ends.
    pub open_at_end: Option<f64>,
    /// Streams that may break while time is left.
    pub broken_streams: Option<f64>,
    /// Time in which a request is answered, in milliseconds, for routes without their own.
    pub timeout_ms: Option<f64>,
    /// Time by which a request may exceed it, in milliseconds.
    pub timeout_slack_ms: Option<f64>,
    /// Replicas that one request may run on, for routes without their own number.
    pub attempts: Option<f64>,
    /// Window of the retry budget, in milliseconds.
    pub retry_window_ms: Option<f64>,
    /// Repeats allowed per request in the window.
    pub retry_ratio: Option<f64>,
    /// Repeats allowed besides, in each window.
    pub retry_slack: Option<f64>,
    /// Requests that a replica may get while it wants none.
    pub pause_requests: Option<f64>,
    /// Time from a replica's answer until it gets none, in milliseconds.
    pub pause_grace_ms: Option<f64>,
    /// Window of the limits that replicas name, in milliseconds.
    pub limit_window_ms: Option<f64>,
    /// Factor by which they may be exceeded.
    pub limit_factor: Option<f64>,
    /// Requests allowed besides, in each window.
    pub limit_slack: Option<f64>,
    /// Window of the workspaces' limits, in milliseconds.
    pub quota_window_ms: Option<f64>,
    /// Fraction by which they may be exceeded.
    pub quota_overshoot: Option<f64>,
    /// Tokens allowed besides, in each window.
    pub quota_slack: Option<f64>,
    /// Time until a configuration is in force, in milliseconds.
    pub config_apply_ms: Option<f64>,
    /// Time after which an older configuration may not come back, in milliseconds.
    pub rollback_slack_ms: Option<f64>,
    /// Age of the view on which a replica may be chosen, in milliseconds.
    pub view_age_ms: Option<f64>,
    /// Time until a revoked key is refused, in milliseconds.
    pub revoke_ms: Option<f64>,
    /// Share of an endpoint's requests that a bad version may get.
    pub canary_share: Option<f64>,
    /// Requests that it may get besides.
    pub canary_slack: Option<f64>,
    /// Time until a bad version gets no requests, in milliseconds.
    pub rollback_ms: Option<f64>,
    /// Time that a request lasts at most, in milliseconds. Events are held back for that long.
    pub longest_request_ms: Option<f64>,
    /// Bounds of routes.
    pub routes: IndexMap<String, RouteBounds>,
    /// Limits of workspaces.
    pub workspaces: IndexMap<String, WorkspaceBounds>,
}

/// Bounds of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct RouteBounds {
    /// Time in which a request is answered, in milliseconds.
    pub timeout_ms: Option<f64>,
    /// Replicas that one request may run on.
    pub attempts: Option<f64>,
}

/// Limit of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct WorkspaceBounds {
    /// Tokens per second.
    pub rate_per_s: Option<f64>,
    /// Tokens besides.
    pub burst: Option<f64>,
}

impl Bounds {
    /// Parses a settings file and puts settings of the form `name = value` in place of its own.
    pub fn parse(file: &str, settings: &[String]) -> Result<Self, String> {
        let mut table: toml::Table = file.parse().map_err(|error| format!("bounds: {error}"))?;
        for setting in settings {
            let own: toml::Table = setting
                .parse()
                .map_err(|error| format!("bound '{setting}': {error}"))?;
            merge(&mut table, own);
        }
        table.try_into().map_err(|error| format!("bounds: {error}"))
    }

    /// Time in which a request on this route is answered, in milliseconds.
    pub fn timeout_ms(&self, route: &str) -> Option<f64> {
        let own = self.routes.get(route).and_then(|it| it.timeout_ms);
        Some(own.or(self.timeout_ms)? + self.timeout_slack_ms?)
    }

    /// Replicas that one request on this route may run on.
    pub fn max_attempts(&self, route: &str) -> Option<f64> {
        let own = self.routes.get(route).and_then(|it| it.attempts);
        own.or(self.attempts)
    }

    /// Tokens that a workspace may use in a window of its limit.
    pub fn quota(&self, workspace: &str) -> Option<f64> {
        let limit = self.workspaces.get(workspace)?;
        let window_s = self.quota_window_ms? / 1_000.0;
        let tokens = limit.rate_per_s?.mul_add(window_s, limit.burst?);
        Some(tokens.mul_add(1.0 + self.quota_overshoot?, self.quota_slack?))
    }

    /// Repeats that an endpoint with this number of requests may get in a window.
    pub fn repeats(&self, requests: u64) -> Option<f64> {
        Some(self.retry_ratio?.mul_add(requests as f64, self.retry_slack?))
    }

    /// Requests that a replica which named this limit may get in a window.
    pub fn limit(&self, per_s: f64) -> Option<f64> {
        let window_s = self.limit_window_ms? / 1_000.0;
        Some((self.limit_factor? * per_s).mul_add(window_s, self.limit_slack?))
    }
}

fn merge(table: &mut toml::Table, other: toml::Table) {
    for (key, value) in other {
        match (table.get_mut(&key), value) {
            (Some(toml::Value::Table(table)), toml::Value::Table(value)) => merge(table, value),
            (_, value) => {
                table.insert(key, value);
            }
        }
    }
}
