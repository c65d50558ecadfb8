//! Command-line flags of each subcommand.

use std::path::PathBuf;

xflags::xflags! {
    /// Load generator and experiment runner.
    cmd bilberrylatch-load {
        /// Run an experiment; exits with code 3 if its history violates a guarantee.
        cmd run {
            /// Experiment file (TOML).
            required file: PathBuf
            /// Write the report as JSON.
            optional --json json: PathBuf
            /// Write per-second statistics as CSV.
            optional --csv csv: PathBuf
            /// Plot throughput and latency over time as SVG.
            optional --svg svg: PathBuf
            /// Write the history as JSON Lines.
            optional --history history: PathBuf
        }
        /// Check a history; exits with code 3 if there are findings.
        cmd check {
            /// History file (JSON Lines).
            required history: PathBuf
        }
        /// Compare load-balancing policies in a simulation with virtual time.
        cmd policy {
            /// Simulation file (TOML).
            required file: PathBuf
            /// Write the statistics as JSON.
            optional --json json: PathBuf
            /// Write the statistics as CSV.
            optional --csv csv: PathBuf
        }
    }
}
