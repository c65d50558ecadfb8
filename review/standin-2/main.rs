//! Stand-ins of the second review, and its cases.

mod deadly;
mod http;
mod json;
mod node;
mod odd_key;
mod record;
mod replica;
mod revoked;
mod store;
mod successor;
mod usage;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// What a case gets.
pub struct Setting {
    pub record: Record,
    /// A temporary folder.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: CASE FOLDER");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = std::fs::create_dir_all(&temporary)
        .and_then(|()| Record::create(&Path::new(folder).join("record.txt")));
    let record = match record {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    record.tell(&format!("case {case}, trouble {has_trouble}"));
    let setting = Setting {
        record: record.clone(),
        folder: temporary.clone(),
        has_trouble,
    };
    let verdict = match case.as_str() {
        "deadly" => deadly::run(&setting),
        "odd-key" => odd_key::run(&setting),
        "usage" => usage::run(&setting),
        "revoked" => revoked::run(&setting),
        "successor" => successor::run(&setting),
        _ => Verdict::NotRun("unknown case".to_owned()),
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("{}", temporary.display());
    }
    match verdict {
        Verdict::Held => {
            record.tell("held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.tell("broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(cause) => {
            record.tell(&format!("not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
