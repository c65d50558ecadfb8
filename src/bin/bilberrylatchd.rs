//! The daemon of a node. With `platform` as its first argument, it runs on the users' platform.

use std::env;
use std::process::ExitCode;

/// First argument that selects the users' platform.
const PLATFORM_ARGUMENT: &str = "platform";

fn main() -> ExitCode {
    if env::args().nth(1).as_deref() == Some(PLATFORM_ARGUMENT) {
        platform::run()
    } else {
        node::run()
    }
}
