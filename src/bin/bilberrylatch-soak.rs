//! Soak test: runs real processes, injects faults into them and checks the system's guarantees.

use std::process::ExitCode;

fn main() -> ExitCode {
    soak::main()
}
