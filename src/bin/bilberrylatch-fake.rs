//! Fakes of the platform and of the endpoints' replicas, with fault injection.

use std::process::ExitCode;

fn main() -> ExitCode {
    fake::cli::main()
}
