//! Settings of the daemon: variables of the environment and of the file that `BILBERRYLATCH_SETTINGS` names.
//!
//! The file holds `NAME=value` lines; `#` starts a comment line. Its values go before the environment's, so that a
//! changed file takes effect at the next reload.

mod finding;
mod source;

use std::net::SocketAddr;

use base::Millis;
use log::LevelFilter;

pub use finding::{Finding, Findings};
pub use source::Source;

/// Settings that are in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node; stays the same when the process restarts on the same VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address for callers' requests.
    pub listen: SocketAddr,
    /// Address for questions of readiness.
    pub ready_listen: SocketAddr,
    /// Address for callers' questions for addresses.
    pub directory_listen: SocketAddr,
    /// Address for datagrams of other nodes.
    pub peer_listen: SocketAddr,
    /// Address of the metrics.
    pub metrics_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Least level of the logs.
    pub log_level: LevelFilter,
    /// Read calls a second that the store takes from all nodes.
    pub store_reads: f64,
    /// Write calls a second that the store takes from all nodes.
    pub store_writes: f64,
    /// Shortest lease of the store.
    pub lease_least: Millis,
    /// Longest time between the removal of an API key and its last use.
    pub key_life: Millis,
    /// Time within which a change in the store must be in force.
    pub apply: Millis,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Millis,
    /// Repeated dispatches for each request, over all nodes.
    pub retry_ratio: f64,
    /// Repeated dispatches besides, over all nodes.
    pub retry_slack: f64,
    /// Length of the sliding window of repeated dispatches.
    pub retry_window: Millis,
    /// Length of the sliding window of workspace limits.
    pub quota_window: Millis,
    /// Part by which a workspace limit may be exceeded.
    pub quota_overshoot: f64,
    /// Tokens by which a workspace limit may be exceeded besides.
    pub quota_slack: f64,
    /// Shortest time in which a role may pass back and forth between two nodes.
    pub role_lease: Millis,
    /// Length of a usage window.
    pub usage_window: Millis,
    /// Time after the end of a usage window by which its report is due.
    pub usage_late: Millis,
    /// Part of an endpoint's requests that a version may get before it has proved itself.
    pub canary_share: f64,
    /// How long callers may keep addresses.
    pub address_ttl: Millis,
}

impl Settings {
    /// Reads the settings; all that is wrong with them is reported together.
    pub fn read(source: &Source) -> Result<Self, Findings> {
        let mut reader = source::Reader::new(source);
        let settings = Self {
            name: reader.text("NAME"),
            zone: reader.text("ZONE"),
            listen: reader.address("LISTEN"),
            ready_listen: reader.address("READY_LISTEN"),
            directory_listen: reader.address("DIRECTORY_LISTEN"),
            peer_listen: reader.address("PEER_LISTEN"),
            metrics_listen: reader.address("METRICS_LISTEN"),
            store: reader.address("STORE"),
            cloud: reader.address("CLOUD"),
            log_level: reader.parsed("LOG_LEVEL", LevelFilter::Info),
            store_reads: reader.parsed("STORE_READS", 2_000.0),
            store_writes: reader.parsed("STORE_WRITES", 400.0),
            lease_least: reader.millis("LEASE_LEAST_MS", 1_000),
            key_life: reader.millis("KEY_LIFE_MS", 5_000),
            apply: reader.millis("APPLY_MS", 2_000),
            grace: reader.seconds("GRACE_S", 8.0),
            retry_ratio: reader.parsed("RETRY_RATIO", 0.1),
            retry_slack: reader.parsed("RETRY_SLACK", 10.0),
            retry_window: reader.seconds("RETRY_WINDOW_S", 10.0),
            quota_window: reader.seconds("QUOTA_WINDOW_S", 8.0),
            quota_overshoot: reader.parsed("QUOTA_OVERSHOOT", 0.1),
            quota_slack: reader.parsed("QUOTA_SLACK", 0.0),
            role_lease: reader.millis("ROLE_LEASE_MS", 3_000),
            usage_window: reader.seconds("USAGE_WINDOW_S", 5.0),
            usage_late: reader.seconds("USAGE_LATE_S", 10.0),
            canary_share: reader.parsed("CANARY_SHARE", 0.1),
            address_ttl: reader.seconds("ADDRESS_TTL_S", 2.0),
        };
        reader.finish(settings)
    }
}
