//! Exit codes of the tool.

/// Result of a command, for scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// A check found errors, a node refused the command, a rollout was undone or the demo failed.
    Failed = 1,
    /// A flag, an environment variable or a file is missing or invalid.
    Usage = 2,
    /// No node answered, or none that may execute the command.
    Unreachable = 3,
    /// The command conflicts with the current state, for example with another operator's edit.
    Conflict = 4,
    /// The command may have taken effect; it can be repeated with the same id.
    Indeterminate = 5,
    /// The maximum wait was exceeded.
    Timeout = 6,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
