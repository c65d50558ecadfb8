//! Settings of a stream of arrivals.

use serde::{Deserialize, Serialize};

use super::Shape;

/// Callers of one workspace that perform one kind of operation on one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Workspace of the callers.
    pub workspace: String,
    /// Arrivals per second at the peak of the shape.
    pub rate_per_s: f64,
    /// Rate profile.
    #[serde(default)]
    pub shape: Shape,
    /// Kind of operation.
    pub work: Work,
    /// Priority among the workspace's own requests: `interactive`, `normal` or `batch`.
    #[serde(default)]
    pub priority: Priority,
}

/// Priority among the requests of a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A user is waiting for the answer.
    Interactive,
    /// Default priority.
    #[default]
    Normal,
    /// Batch work without latency requirements.
    Batch,
}

/// Kind of operation of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Work {
    /// Credits one of `accounts` accounts; not idempotent.
    TopUp {
        /// Number of accounts.
        accounts: u32,
    },
    /// Reads one of `accounts` accounts.
    Balance {
        /// Number of accounts.
        accounts: u32,
    },
    /// Sends a non-idempotent `POST` to a path.
    #[serde(rename = "issue")]
    Post {
        /// Path below the endpoint, with a leading slash.
        path: String,
    },
    /// Completions about files shared by many callers. Each arrival selects a file and asks a question, which may have
    /// follow-up questions.
    Questions(Questions),
}

/// Parameters of questions about shared files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Questions {
    /// Number of files; those with a low index are the most popular.
    pub files: u32,
    /// Tokens per file.
    pub file_tokens: u32,
    /// Tokens per question.
    pub question_tokens: u32,
    /// Minimum tokens per answer.
    pub answer_min: u32,
    /// Maximum tokens per answer.
    pub answer_max: u32,
    /// Maximum number of follow-up questions.
    #[serde(default)]
    pub follow_ups: u32,
    /// Mean time between a question and its follow-up, in milliseconds.
    #[serde(default)]
    pub think_ms: u64,
}
