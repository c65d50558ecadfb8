//! Commands and flags of the tool.

#![expect(missing_docs, reason = "the macro generates undocumented items")]

use std::path::PathBuf;
use std::str::FromStr;

xflags::xflags! {
    /// Operates a bilberrylatch deployment. The operators' token comes from BILBERRYLATCH_OPERATOR_TOKEN.
    cmd bilberrylatch {
        /// Nodes to ask, URLs separated by commas; also BILBERRYLATCH_NODE.
        optional --node urls: String
        /// Print JSON for scripts.
        optional --json

        /// The catalogue of endpoints.
        cmd catalogue {
            /// Check a file and report every finding with its place.
            cmd check {
                /// The file.
                required file: PathBuf
            }
            /// Show what a file would change.
            cmd diff {
                /// The file.
                required file: PathBuf
            }
            /// Put a file in force.
            cmd apply {
                /// The file.
                required file: PathBuf
                /// Id of the edit; repeating an edit with its id is safe.
                optional --id id: String
                /// Generation that the edit was made from; the one in force if it is not given.
                optional --expected generation: u64
                /// Who makes the edit.
                optional --author name: String
                /// Wait until every live node has it in force.
                optional --wait
                /// Longest wait, in seconds.
                optional --timeout-seconds seconds: u64
            }
            /// Print the text in force.
            cmd show {}
            /// Tell how far the newest generation has got.
            cmd status {}
            /// Print the digest of a workspace's token for the catalogue.
            cmd token {
                /// The token.
                required token: String
            }
        }
        /// Rollouts of versions: start, status, undo or wait.
        cmd rollout {
            /// What to do: start, status, undo or wait.
            required action: RolloutAction
            /// The endpoint.
            required endpoint: String
            /// The version to move to, for start.
            optional to: String
            /// The version that serves now; the catalogue's stable one if it is not given.
            optional --from version: String
            /// Time to move over, in seconds.
            optional --within-seconds seconds: u64
            /// Time to watch the version at full share, in seconds.
            optional --watch-seconds seconds: u64
            /// Id of the rollout; repeating a start with its id is safe.
            optional --id id: String
            /// Who asks.
            optional --operator name: String
            /// Longest wait, in seconds.
            optional --timeout-seconds seconds: u64
        }
        /// Idempotency keys: show counts those that the asked node holds.
        cmd keys {
            /// What to do: show.
            required action: KeysAction
        }
        /// List nodes.
        cmd nodes {}
        /// List replicas as the asked node sees them.
        cmd replicas {}
        /// Show nodes on the users' platform, by what their metrics addresses tell.
        cmd platform {
            /// Metrics addresses, separated by commas; also BILBERRYLATCH_METRICS.
            optional --metrics addresses: String
        }
        /// Run everything in one process, with stand-ins.
        cmd demo {
            /// Requests to send; without it the demo stays up.
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
