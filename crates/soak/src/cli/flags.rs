//! Flags of the subcommands.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

xflags::xflags! {
    /// A randomized soak test of the daemon on the users' platform.
    cmd bilberrylatch-soak {
        /// Injects the faults of a seed into real processes; fails if a guarantee was violated.
        cmd run {
            /// Seed.
            required --seed seed: u64
            /// Number of consecutive seeds to run, starting with this one.
            optional --count count: u64
            /// Number of runs at a time.
            optional --jobs jobs: usize
            /// Period in which faults begin, in seconds.
            optional --seconds seconds: u64
            /// Number of nodes.
            optional --nodes nodes: usize
            /// Number of replicas.
            optional --replicas replicas: usize
            /// Number of callers, each of which sends one request at a time.
            optional --callers callers: usize
            /// Path of the daemon; defaults to the one next to this program.
            optional --daemon daemon: PathBuf
            /// Path of an earlier build of the daemon. The nodes start with it and are moved to the current one during the run.
            optional --earlier earlier: PathBuf
            /// Directory for logs, which are kept if a guarantee was violated.
            optional --logs logs: PathBuf
            /// Prints violations of timing guarantees without counting them, for use on busy machines.
            optional --untimed
        }
        /// Runs the seeds that once revealed a violated guarantee.
        cmd again {
            /// Number of runs at a time.
            optional --jobs jobs: usize
            /// Directory for logs, which are kept if a guarantee was violated.
            optional --logs logs: PathBuf
        }
        /// Cuts nodes of a large cluster off from all replicas and compares the requests that they serve with those of the
        /// others; fails if they serve too few, if a request ran twice, or if one was refused that ran.
        cmd cuts {
            /// Seed.
            required --seed seed: u64
            /// Number of nodes.
            optional --nodes nodes: usize
            /// Number of replicas.
            optional --replicas replicas: usize
            /// Requests per second at all nodes together.
            optional --rate rate: f64
            /// Nodes that are cut off: one, tenth, third, zone-part, zone, zone-and-third or two-thirds.
            optional --which which: String
            /// State of their links: reset, refuse-new, silent or mixed.
            optional --link link: String
            /// Number of replicas that each node still reaches.
            optional --reachable reachable: usize
            /// Duration of a cut in seconds.
            optional --seconds seconds: u64
            /// Number of cuts, each of other nodes.
            optional --cuts cuts: usize
            /// Pause between two cuts in milliseconds.
            optional --pause-ms pause_ms: u64
            /// Directory for logs, which are kept if the run fails.
            optional --logs logs: PathBuf
            /// Prints each second.
            optional --verbose
        }
        /// Runs the daemon on the platform with all replicas at their registered ports on another host.
        cmd node {
            /// The host.
            required --replicas-at replicas_at: IpAddr
        }
        /// Runs the stand-in for the store and the cloud.
        cmd store {
            /// Address to listen on.
            required --listen listen: SocketAddr
        }
        /// Runs a stand-in for a replica.
        cmd replica {
            /// Id of the replica.
            required --id id: String
            /// Availability zone of the replica.
            required --zone zone: String
            /// Address to listen on.
            optional --listen listen: SocketAddr
            /// Address that it registers for nodes to reach it.
            required --reached-at reached_at: SocketAddr
            /// Address of the store.
            required --store store: SocketAddr
            /// Seed that determines how it handles requests.
            required --seed seed: u64
        }
    }
}
