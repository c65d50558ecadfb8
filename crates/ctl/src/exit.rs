//! Exit codes of the tool, for scripts.

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// It did what was asked.
    Success = 0,
    /// A check found errors, or a rollout was undone.
    Failed = 1,
    /// Flags, variables or files are wrong.
    Usage = 2,
    /// No node answered.
    Unreachable = 3,
    /// Another operator came first.
    Conflict = 4,
    /// The edit may have been accepted; repeat it with the same id.
    Indeterminate = 5,
    /// The time to wait ran out.
    Timeout = 6,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
