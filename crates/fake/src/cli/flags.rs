//! Flags of the subcommands.

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins for the platform and the endpoints. Each flag can be set by environment, too:
    /// --lag-ms is BILBERRYLATCH_FAKE_LAG_MS.
    cmd bilberrylatch-fake {
        /// Key-value service with conditional requests, leases and watches.
        cmd kv {
            /// IP number and port to listen on; port 0 takes a free one.
            optional --listen listen: SocketAddr
        }
        /// Cloud API: VM list, notices, starts.
        cmd cloud {
            /// IP number and port to listen on; port 0 takes a free one.
            optional --listen listen: SocketAddr
            /// Lag of the VM list in milliseconds.
            optional --lag-ms lag_ms: u64
            /// Milliseconds from a start until the VM is listed.
            optional --boot-ms boot_ms: u64
            /// Endpoints, separated by commas, whose started VMs run an engine.
            optional --engines engines: String
            /// Endpoints, separated by commas, whose started VMs run a service.
            optional --services services: String
        }
        /// Model engine.
        cmd engine {
            /// IP number and port to listen on; port 0 takes a free one.
            optional --listen listen: SocketAddr
            /// Version that is served.
            optional --version version: String
            /// Lag of load reports and cache events in milliseconds.
            optional --lag-ms lag_ms: u64
            /// Microseconds of an iteration with nothing in it.
            optional --iteration-us iteration_us: u64
            /// Microseconds that each decoding sequence adds to an iteration.
            optional --sequence-us sequence_us: u64
            /// Microseconds that each computed prompt token adds to an iteration.
            optional --prefill-us prefill_us: u64
            /// Sequences that run at once.
            optional --capacity capacity: usize
            /// Blocks that the prefix cache holds.
            optional --cache-blocks cache_blocks: usize
            /// Megabytes of a version's weights.
            optional --weights-mb weights_mb: u64
            /// Megabytes a second that the weight store delivers.
            optional --weights-mb-per-s weights_mb_per_s: u64
            /// Obey orders with an old fencing number, too.
            optional --ignore-fencing
        }
        /// Plain service: a ledger.
        cmd service {
            /// IP number and port to listen on; port 0 takes a free one.
            optional --listen listen: SocketAddr
            /// Version that is served.
            optional --version version: String
            /// Lag of load reports in milliseconds.
            optional --lag-ms lag_ms: u64
            /// Requests that run at once.
            optional --capacity capacity: usize
            /// Milliseconds that each run takes.
            optional --work-ms work_ms: u64
            /// Obey orders with an old fencing number, too.
            optional --ignore-fencing
        }
    }
}
