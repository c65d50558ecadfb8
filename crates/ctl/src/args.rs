//! Commands and flags of the tool.

#![expect(missing_docs, reason = "the macro generates undocumented items")]

use std::path::PathBuf;
use std::str::FromStr;

xflags::xflags! {
    /// Operates a bilberrylatch deployment. The operators' token is read from BILBERRYLATCH_OPERATOR_TOKEN.
    cmd bilberrylatch {
        /// Comma-separated URLs of the nodes, tried in order; default: BILBERRYLATCH_NODE.
        optional --node urls: String
        /// Print JSON for scripts.
        optional --json

        /// Check, apply and show catalogues of endpoints.
        cmd catalogue {
            /// Check a catalogue file and report all findings with their positions.
            cmd check {
                /// Path of the catalogue file.
                required file: PathBuf
            }
            /// Show the changes that a catalogue file would make.
            cmd diff {
                /// Path of the catalogue file.
                required file: PathBuf
            }
            /// Apply a catalogue file.
            cmd apply {
                /// Path of the catalogue file.
                required file: PathBuf
                /// Id of the edit; repeating an edit with the same id is safe. Default: a random id.
                optional --id id: String
                /// Generation that the edit is based on; default: the generation in force.
                optional --expected generation: u64
                /// Author of the edit; default: USER.
                optional --author name: String
                /// Wait until the edit is in force on all live nodes.
                optional --wait
                /// Maximum wait, in seconds.
                optional --timeout-seconds seconds: u64
            }
            /// Print the text of the catalogue in force.
            cmd show {}
            /// Show the progress of applying the newest generation.
            cmd status {}
            /// Print the digest of a workspace's token, as the catalogue needs it.
            cmd token {
                /// Token of the workspace.
                required token: String
            }
        }
        /// Start, show, undo or wait for the rollout of a version.
        cmd rollout {
            /// Action: start, status, undo or wait.
            required action: RolloutAction
            /// Name of the endpoint.
            required endpoint: String
            /// Version to move to; required for start.
            optional to: String
            /// Version to move from; default: the catalogue's stable version.
            optional --from version: String
            /// Time in which to move all traffic, in seconds.
            optional --within-seconds seconds: u64
            /// Time to watch the new version after all traffic has moved, in seconds.
            optional --watch-seconds seconds: u64
            /// Id of the rollout; repeating a start with the same id is safe. Default: a new id.
            optional --id id: String
            /// Operator who gives the command; default: USER.
            optional --operator name: String
            /// Maximum wait, in seconds.
            optional --timeout-seconds seconds: u64
        }
        /// Count the idempotency keys that the queried node holds.
        cmd keys {
            /// Action: show.
            required action: KeysAction
        }
        /// List the nodes that the queried node knows.
        cmd nodes {}
        /// List the replicas that the queried node knows.
        cmd replicas {}
        /// Show the metrics of nodes on the users' platform.
        cmd platform {
            /// Comma-separated metrics addresses (IP:PORT); default: BILBERRYLATCH_METRICS.
            optional --metrics addresses: String
        }
        /// Check a configuration of the users' platform before it is sent. Exit code 0: no errors; 1: errors; 2: a flag, a file or
        /// the store can't be used.
        cmd configuration {
            /// Action: check.
            required action: ConfigurationAction
            /// Path of the file with the configuration.
            required file: PathBuf
            /// Path of a file with the configuration in force, to show what differs.
            optional --against in_force: PathBuf
            /// Address (IP:PORT) of the platform's store, to show what differs from the configuration in force.
            optional --store address: String
        }
        /// Show how close each of the users' rules came to breaking, by the logs of nodes on the users' platform.
        cmd margins {
            /// Paths of the logs.
            repeated log: PathBuf
            /// Path of the file with the bounds.
            optional --bounds file: PathBuf
            /// A bound, in place of that of the file: NAME=VALUE. May be given several times.
            repeated --bound setting: String
        }
        /// Run a demo deployment in one process, with fake servers.
        cmd demo {
            /// Number of requests to send; without it the demo runs until interrupted.
            optional --requests number: usize
        }
    }
}

/// Action of the `rollout` command.
///
/// The action is an argument because the macro needs unique subcommand names, and `status` is already a subcommand of
/// `catalogue`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    Start,
    Status,
    Undo,
    Wait,
}

impl FromStr for RolloutAction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "start" => Ok(Self::Start),
            "status" => Ok(Self::Status),
            "undo" => Ok(Self::Undo),
            "wait" => Ok(Self::Wait),
            _ => Err(format!("'{text}' is not start, status, undo or wait")),
        }
    }
}

/// Action of the `keys` command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeysAction {
    Show,
}

impl FromStr for KeysAction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "show" => Ok(Self::Show),
            _ => Err(format!("'{text}' is not show")),
        }
    }
}

/// Action of the `configuration` command. It is an argument for the same reason as that of `rollout`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationAction {
    Check,
}

impl FromStr for ConfigurationAction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "check" => Ok(Self::Check),
            _ => Err(format!("'{text}' is not check")),
        }
    }
}
