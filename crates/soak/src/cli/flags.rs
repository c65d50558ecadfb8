//! Flags of the subcommands.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// A randomized soak of the daemon on the users' platform.
    cmd bilberrylatch-soak {
        /// Plays the faults of a seed against real processes; fails if a promise was broken.
        cmd run {
            /// The seed.
            required --seed seed: u64
            /// Plays so many seeds from this one on.
            optional --count count: u64
            /// Runs at once.
            optional --jobs jobs: usize
            /// Seconds in which faults begin.
            optional --seconds seconds: u64
            /// Nodes.
            optional --nodes nodes: usize
            /// Replicas.
            optional --replicas replicas: usize
            /// Callers that send one request after another.
            optional --callers callers: usize
            /// The daemon; the one beside this program if not given.
            optional --daemon daemon: PathBuf
            /// Directory for logs, which are kept if something was found.
            optional --logs logs: PathBuf
            /// Shows promises about time but does not count them: for machines that are busy.
            optional --untimed
        }
        /// Plays the seeds that once showed a broken promise.
        cmd again {
            /// Runs at once.
            optional --jobs jobs: usize
            /// Directory for logs, which are kept if something was found.
            optional --logs logs: PathBuf
        }
        /// The stand-in for the store and the cloud.
        cmd store {
            /// Where it listens.
            required --listen listen: SocketAddr
        }
        /// A stand-in for a replica.
        cmd replica {
            /// Its id.
            required --id id: String
            /// Its availability zone.
            required --zone zone: String
            /// Where it listens.
            optional --listen listen: SocketAddr
            /// Where nodes are told to reach it.
            required --reached-at reached_at: SocketAddr
            /// The store.
            required --store store: SocketAddr
            /// Decides what it does with requests.
            required --seed seed: u64
        }
    }
}
