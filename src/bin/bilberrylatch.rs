//! The operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    ctl::run()
}
