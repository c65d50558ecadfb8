//! The soak: real processes, faults from outside, promises checked.

use std::process::ExitCode;

fn main() -> ExitCode {
    soak::main()
}
