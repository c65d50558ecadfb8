//! The daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    node::run()
}
