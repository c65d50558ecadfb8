//! Settings of one stream of arrivals.

use serde::{Deserialize, Serialize};

use super::Shape;

/// Callers of one workspace who ask one kind of thing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Endpoint asked for.
    pub endpoint: String,
    /// Workspace of the callers.
    pub workspace: String,
    /// Arrivals a second at the peak of the shape.
    pub rate_per_s: f64,
    /// Course of the rate.
    #[serde(default)]
    pub shape: Shape,
    /// What is asked.
    pub work: Work,
    /// Order among the workspace's own requests: `interactive`, `normal` or `batch`.
    #[serde(default)]
    pub priority: Priority,
}

/// Order among a workspace's own requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Somebody is waiting.
    Interactive,
    /// The usual.
    #[default]
    Normal,
    /// Overnight work.
    Batch,
}

/// What a stream asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Work {
    /// Adds to one of `accounts` accounts; not idempotent.
    TopUp {
        /// Accounts.
        accounts: u32,
    },
    /// Reads one of `accounts` accounts.
    Balance {
        /// Accounts.
        accounts: u32,
    },
    /// Sends a non-idempotent call to the path.
    #[serde(rename = "issue")]
    Post {
        /// Path below the endpoint, with a leading slash.
        path: String,
    },
    /// Questions about files that many callers share; each arrival opens a file and asks on.
    Questions(Questions),
}

/// Questions about shared files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Questions {
    /// Files; the first ones are asked about most.
    pub files: u32,
    /// Tokens of a file.
    pub file_tokens: u32,
    /// Tokens of a question.
    pub question_tokens: u32,
    /// Tokens of an answer at the least.
    pub answer_min: u32,
    /// Tokens of an answer at the most.
    pub answer_max: u32,
    /// Follow-up questions at the most.
    #[serde(default)]
    pub follow_ups: u32,
    /// Mean span between a question and its follow-up, in milliseconds.
    #[serde(default)]
    pub think_ms: u64,
}
