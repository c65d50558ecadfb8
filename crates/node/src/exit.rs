//! Exit codes of the daemon.

/// Exit code of the daemon, for scripts and service managers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Graceful stop, or `--check` without errors.
    Success = 0,
    /// Flags or environment variables are invalid.
    Settings = 2,
    /// An address could not be bound.
    Address = 3,
    /// An actor or the runtime failed.
    Internal = 4,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
