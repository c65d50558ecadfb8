//! Stand-ins for the platform and the endpoints.

use std::process::ExitCode;

fn main() -> ExitCode {
    fake::cli::main()
}
