//! Load generator and experiment runner.

use std::process::ExitCode;

fn main() -> ExitCode {
    load::cli::main()
}
