//! Settings of the daemon, from environment variables and from the file named by `BILBERRYLATCH_SETTINGS`.
//!
//! The file consists of `NAME=value` lines; a line that starts with `#` is a comment. Its values take precedence over
//! the environment, so that changes to the file take effect on reload.

mod finding;
mod source;

use std::net::SocketAddr;

use base::Millis;
use indexmap::IndexMap;
use log::LevelFilter;

pub use finding::{Finding, Findings};
pub use source::Source;

/// Valid settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node. It must stay the same when the process restarts on the same VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Region of the VM; empty if the deployment names none.
    pub region: String,
    /// Regions of the availability zones; empty if the deployment names none.
    pub zone_regions: IndexMap<String, String>,
    /// Address for callers' requests.
    pub listen: SocketAddr,
    /// Address for readiness checks.
    pub ready_listen: SocketAddr,
    /// Address for directory lookups by callers.
    pub directory_listen: SocketAddr,
    /// Address for datagrams from other nodes.
    pub peer_listen: SocketAddr,
    /// Address that serves the metrics.
    pub metrics_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Share of a core that the VM has.
    pub cpu_share: f64,
    /// Minimum level of log lines.
    pub log_level: LevelFilter,
    /// Read calls per second that the store accepts from all nodes combined.
    pub store_reads: f64,
    /// Write calls per second that the store accepts from all nodes combined.
    pub store_writes: f64,
    /// Minimum time to live of a lease in the store.
    pub min_lease_ttl: Millis,
    /// Interval at which replicas renew their registrations. Registrations expire after three of them.
    pub replica_heartbeat: Millis,
    /// Maximum time between the removal of an API key and its last use.
    pub key_revocation_time: Millis,
    /// Time within which a change in the store must take effect.
    pub apply_time: Millis,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Millis,
    /// Allowed retries per request, over all nodes.
    pub retry_ratio: f64,
    /// Retries allowed in addition to the ratio, over all nodes.
    pub retry_slack: f64,
    /// Length of the sliding window over which retries are counted.
    pub retry_window: Millis,
    /// Length of the sliding window of the workspace limits.
    pub quota_window: Millis,
    /// Fraction by which a workspace may exceed its limit.
    pub quota_overshoot: f64,
    /// Tokens by which a workspace may exceed its limit in addition to the overshoot.
    pub quota_slack: f64,
    /// Minimum time for a role to move to another node and back.
    pub role_lease: Millis,
    /// Length of a usage window.
    pub usage_window: Millis,
    /// Time after the end of a usage window by which its report is due.
    pub usage_report_due: Millis,
    /// Maximum fraction of an endpoint's requests that goes to a version that has not proven healthy yet.
    pub canary_share: f64,
    /// How long callers may cache addresses.
    pub address_ttl: Millis,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: usize,
    /// File descriptors that the process may use.
    pub max_fds: usize,
    /// Whether the capacity of replicas goes to urgent requests first.
    pub capacity_by_urgency: bool,
    /// Factor by which the requests to a cold replica may exceed its rate in a second.
    pub cold_overshoot: f64,
    /// Requests by which they may exceed it in addition.
    pub cold_slack: f64,
    /// Time within which requests to an evacuated zone must have ceased.
    pub evacuation_time: Millis,
}

impl Settings {
    /// Reads the settings and reports all problems together.
    pub fn read(source: &Source) -> Result<Self, Findings> {
        let mut reader = source::Reader::new(source);
        let settings = Self {
            name: reader.string("NAME"),
            zone: reader.string("ZONE"),
            listen: reader.address("LISTEN"),
            ready_listen: reader.address("READY_LISTEN"),
            directory_listen: reader.address("DIRECTORY_LISTEN"),
            peer_listen: reader.address("PEER_LISTEN"),
            metrics_listen: reader.address("METRICS_LISTEN"),
            store: reader.address("STORE"),
            cloud: reader.address("CLOUD"),
            cpu_share: reader.parse_or("CPU_SHARE", 1.0),
            log_level: reader.parse_or("LOG_LEVEL", LevelFilter::Info),
            store_reads: reader.parse_or("STORE_READS", 2_000.0),
            store_writes: reader.parse_or("STORE_WRITES", 400.0),
            min_lease_ttl: reader.millis("LEASE_LEAST_MS", 1_000),
            replica_heartbeat: reader.millis("REPLICA_HEARTBEAT_MS", 1_000),
            key_revocation_time: reader.millis("KEY_LIFE_MS", 5_000),
            apply_time: reader.millis("APPLY_MS", 2_000),
            grace: reader.seconds("GRACE_S", 8.0),
            retry_ratio: reader.parse_or("RETRY_RATIO", 0.1),
            retry_slack: reader.parse_or("RETRY_SLACK", 10.0),
            retry_window: reader.seconds("RETRY_WINDOW_S", 10.0),
            quota_window: reader.seconds("QUOTA_WINDOW_S", 8.0),
            quota_overshoot: reader.parse_or("QUOTA_OVERSHOOT", 0.1),
            quota_slack: reader.parse_or("QUOTA_SLACK", 0.0),
            role_lease: reader.millis("ROLE_LEASE_MS", 3_000),
            usage_window: reader.seconds("USAGE_WINDOW_S", 5.0),
            usage_report_due: reader.seconds("USAGE_LATE_S", 10.0),
            canary_share: reader.parse_or("CANARY_SHARE", 0.1),
            address_ttl: reader.seconds("ADDRESS_TTL_S", 2.0),
            region: reader.optional_string("REGION"),
            zone_regions: reader.json_object("ZONES"),
            memory_mb: reader.parse_or("MEMORY_MB", 260),
            max_fds: reader.parse_or("MAX_FDS", 4_096),
            capacity_by_urgency: reader.parse_or("CAPACITY_BY_URGENCY", false),
            cold_overshoot: reader.parse_or("COLD_OVERSHOOT", 1.0),
            cold_slack: reader.parse_or("COLD_SLACK", 0.0),
            evacuation_time: reader.millis("EVACUATE_MS", 5_000),
        };
        reader.finish(settings)
    }

    /// The VM's share of a core, in thousandths.
    pub fn capacity(&self) -> u32 {
        (self.cpu_share * 1_000.0) as u32
    }
}
