//! The command line of `bilberrylatch-load`.

mod flags;

use std::process::ExitCode;

use flags::{BilberrylatchLoad, BilberrylatchLoadCmd};

use crate::policy::table::Table;
use crate::policy::{Config, Trial};
use crate::{Error, file, history};

/// Exit code for a history with findings.
const EXIT_FINDINGS: u8 = 3;

/// Carries out the command line.
pub fn main() -> ExitCode {
    let flags = BilberrylatchLoad::from_env_or_exit();
    let done = match flags.subcommand {
        BilberrylatchLoadCmd::Check(flags) => check(&flags),
        BilberrylatchLoadCmd::Policy(flags) => policy(&flags),
    };
    done.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::FAILURE
    })
}

fn check(flags: &flags::Check) -> Result<ExitCode, Error> {
    let history = history::read(&file::text(&flags.history)?);
    let findings = history::check(&history);
    for finding in &findings {
        println!("{finding}");
    }
    println!("{} records, {} findings", history.lines.len(), findings.len());
    if findings.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_FINDINGS))
}

fn policy(flags: &flags::Policy) -> Result<ExitCode, Error> {
    let config = file::settings::<Config>(&flags.file)?;
    let mut figures = Vec::new();
    for choice in &config.policies {
        for seed in &config.seeds {
            figures.push(Trial::new(&config, *choice, *seed).run());
        }
    }
    print!("{}", Table(&figures));
    if let Some(path) = &flags.json {
        file::write_json(path, &figures)?;
    }
    if let Some(path) = &flags.csv {
        file::write_csv(path, &figures)?;
    }
    Ok(ExitCode::SUCCESS)
}
