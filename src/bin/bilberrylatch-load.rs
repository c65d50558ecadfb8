//! Load and experiment tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    load::cli::main()
}
