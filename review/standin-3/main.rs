//! Stand-ins and checks for the scripts of the cases from 11 on. One program without dependencies; the first argument names the
//! case, the second the folder that `record.txt` goes to.

mod case;
mod client;
mod http;
mod node;
mod record;
mod replica;
mod store;

use std::env;
use std::process::ExitCode;

/// Exit code for a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let result = match name.as_str() {
        "memory" => case::memory::run(folder.as_ref(), has_trouble),
        _ => Err(format!("no case {name}")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(cause) => {
            eprintln!("not run: {cause}");
            ExitCode::from(NOT_RUN)
        }
    }
}
