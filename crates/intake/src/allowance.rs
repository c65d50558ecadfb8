//! How a VM's memory and descriptors are divided.

/// Bytes in a megabyte, by which the VM's memory is given.
const MEGABYTE: usize = 1_000_000;
/// Parts of the memory, in percent. The rest is left for the process itself, the shared state, the calls to the platform
/// and unused parts of the allocator's pages: 30% of the smallest VM's 120 MB are 36 MB, and an idle process takes 17 MB
/// in an unoptimized build.
const REQUESTS_PERCENT: usize = 25;
const RESPONSES_PERCENT: usize = 20;
const CONNECTIONS_PERCENT: usize = 25;
/// Memory for responses on large VMs, beyond which more does not let a node answer more requests.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// Memory of a connection: its read buffer of 16 KiB, its write buffer, and its task. Measured: 800 connections with 4 KiB
/// of a head took 26 KiB each in an unoptimized build.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Descriptors that are left to the VM.
const RESERVED_DESCRIPTORS: usize = 200;
/// Parts of the other descriptors, in percent. The rest is left for requests on their way to replicas, the store and
/// other nodes.
const CLIENTS_PERCENT: usize = 55;
const IDLE_UPSTREAM_PERCENT: usize = 15;
/// Parts of the connections of clients, in percent.
const FRONT_PERCENT: usize = 70;
const PEERS_PERCENT: usize = 15;
const DIRECTORY_PERCENT: usize = 10;
/// Connections to the addresses for readiness checks and for metrics, each.
const OPERATOR_CONNECTIONS: usize = 16;
/// Minimum number of connections to an address, however small the VM is.
const MIN_CONNECTIONS: usize = 4;

/// What clients may make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Bytes of requests.
    pub request_bytes: usize,
    /// Bytes of responses.
    pub response_bytes: usize,
    /// Connections of callers.
    pub front_connections: usize,
    /// Connections of other nodes.
    pub peer_connections: usize,
    /// Connections for address lookups.
    pub directory_connections: usize,
    /// Connections for readiness checks, and as many for metrics.
    pub operator_connections: usize,
    /// Idle connections to replicas, the platform and other nodes.
    pub idle_upstream_connections: usize,
}

impl Allowance {
    /// Divides the memory, in megabytes, and the descriptors of a VM.
    pub fn new(memory_mb: usize, max_fds: usize) -> Self {
        let memory = memory_mb.saturating_mul(MEGABYTE);
        // On a VM with fewer descriptors than are usually left to it, half of them are.
        let reserved = RESERVED_DESCRIPTORS.min(max_fds / 2);
        let descriptors = max_fds - reserved;
        let by_memory = percent(memory, CONNECTIONS_PERCENT) / CONNECTION_BYTES;
        let connections = percent(descriptors, CLIENTS_PERCENT).min(by_memory);
        let part = |share| percent(connections, share).max(MIN_CONNECTIONS);
        Self {
            request_bytes: percent(memory, REQUESTS_PERCENT),
            response_bytes: percent(memory, RESPONSES_PERCENT).min(MAX_RESPONSE_BYTES),
            front_connections: part(FRONT_PERCENT),
            peer_connections: part(PEERS_PERCENT),
            directory_connections: part(DIRECTORY_PERCENT),
            operator_connections: OPERATOR_CONNECTIONS.min(part(DIRECTORY_PERCENT)),
            idle_upstream_connections: percent(descriptors, IDLE_UPSTREAM_PERCENT),
        }
    }
}

const fn percent(whole: usize, percent: usize) -> usize {
    whole.saturating_mul(percent) / 100
}
