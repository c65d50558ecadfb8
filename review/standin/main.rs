//! Stand-ins and cases of the review. Each case starts the nodes as separate processes, plays the platform, the servers and
//! the clients itself, writes a record and ends all processes that it started.
//!
//! Usage: `review-standin CASE FOLDER`, in the root of the repository. Exit code 1: the rule was broken; 0: it held; 2: the
//! case couldn't run.

mod cases;
mod client;
mod deployment;
mod http;
mod json;
mod node;
mod record;
mod replica;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(case, Path::new(folder), has_trouble) {
        Verdict::Broken => ExitCode::from(1),
        Verdict::Held => ExitCode::from(0),
        Verdict::NotRun(cause) => {
            eprintln!("the case couldn't run: {cause}");
            ExitCode::from(2)
        }
    }
}
