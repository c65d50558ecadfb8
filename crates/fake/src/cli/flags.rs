//! Command-line flags of each subcommand.

use std::net::SocketAddr;

xflags::xflags! {
    /// Fake servers for the platform and the endpoints. Each flag can also be set by an environment variable:
    /// --lag-ms by BILBERRYLATCH_FAKE_LAG_MS.
    cmd bilberrylatch-fake {
        /// Key-value service with conditional requests, leases and watches.
        cmd kv {
            /// IP address and port to listen on; port 0 picks a free port.
            optional --listen listen: SocketAddr
        }
        /// Cloud API: VM list, reclaim notices and VM starts.
        cmd cloud {
            /// IP address and port to listen on; port 0 picks a free port.
            optional --listen listen: SocketAddr
            /// Lag of the VM list in milliseconds.
            optional --lag-ms lag_ms: u64
            /// Milliseconds from the start of a VM until it is listed.
            optional --boot-ms boot_ms: u64
            /// Comma-separated endpoints whose started VMs run an engine.
            optional --engines engines: String
            /// Comma-separated endpoints whose started VMs run a service.
            optional --services services: String
        }
        /// Model engine.
        cmd engine {
            /// IP address and port to listen on; port 0 picks a free port.
            optional --listen listen: SocketAddr
            /// Version to serve.
            optional --version version: String
            /// Lag of load reports and cache events in milliseconds.
            optional --lag-ms lag_ms: u64
            /// Microseconds that an empty iteration takes.
            optional --iteration-us iteration_us: u64
            /// Microseconds that each decoding sequence adds to an iteration.
            optional --sequence-us sequence_us: u64
            /// Microseconds that each computed prompt token adds to an iteration.
            optional --prefill-us prefill_us: u64
            /// Maximum number of sequences that run concurrently.
            optional --capacity capacity: usize
            /// Maximum number of blocks in the prefix cache.
            optional --cache-blocks cache_blocks: usize
            /// Size of a version's weights in megabytes.
            optional --weights-mb weights_mb: u64
            /// Throughput of the weight store in megabytes per second.
            optional --weights-mb-per-s weights_mb_per_s: u64
            /// Also execute orders with an outdated fencing token.
            optional --ignore-fencing
        }
        /// Plain service: an account ledger.
        cmd service {
            /// IP address and port to listen on; port 0 picks a free port.
            optional --listen listen: SocketAddr
            /// Version to serve.
            optional --version version: String
            /// Lag of load reports in milliseconds.
            optional --lag-ms lag_ms: u64
            /// Maximum number of requests that run concurrently.
            optional --capacity capacity: usize
            /// Milliseconds that each request takes to run.
            optional --work-ms work_ms: u64
            /// Also execute orders with an outdated fencing token.
            optional --ignore-fencing
        }
    }
}
