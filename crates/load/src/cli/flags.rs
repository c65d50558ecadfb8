//! Flags of the subcommands.

use std::path::PathBuf;

xflags::xflags! {
    /// Load and experiment tool.
    cmd bilberrylatch-load {
        /// Run an experiment; exit code 3 if its history breaks a promise.
        cmd run {
            /// Experiment file (TOML).
            required file: PathBuf
            /// Write the report as JSON.
            optional --json json: PathBuf
            /// Write each second's figures as CSV.
            optional --csv csv: PathBuf
            /// Draw the course as SVG.
            optional --svg svg: PathBuf
            /// Write the history as JSON lines.
            optional --history history: PathBuf
        }
        /// Check a history; exit code 3 if anything is found.
        cmd check {
            /// History as JSON lines.
            required history: PathBuf
        }
        /// Run policies against each other in virtual time.
        cmd policy {
            /// Policy file (TOML).
            required file: PathBuf
            /// Write the figures as JSON.
            optional --json json: PathBuf
            /// Write the figures as CSV.
            optional --csv csv: PathBuf
        }
    }
}
