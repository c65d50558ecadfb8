//! Command line of `bilberrylatch-load`.

mod flags;

use std::process::ExitCode;

use flags::{BilberrylatchLoad, BilberrylatchLoadCmd};

use crate::policy::table::Table;
use crate::policy::{Config, Simulation};
use crate::run::plot;
use crate::{Error, file, history};

/// Exit code when the history checker reports findings.
const EXIT_FINDINGS: u8 = 3;

/// Parses the command line and runs the subcommand.
pub fn main() -> ExitCode {
    let flags = BilberrylatchLoad::from_env_or_exit();
    let result = match flags.subcommand {
        BilberrylatchLoadCmd::Run(flags) => run(&flags),
        BilberrylatchLoadCmd::Check(flags) => check(&flags),
        BilberrylatchLoadCmd::Policy(flags) => policy(&flags),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::FAILURE
    })
}

fn run(flags: &flags::Run) -> Result<ExitCode, Error> {
    let runtime = tokio::runtime::Runtime::new().map_err(|cause| Error::Deployment(cause.to_string()))?;
    node::logs::start(node::settings::Format::Human, log::LevelFilter::Warn)
        .map_err(|error| Error::Deployment(error.to_string()))?;
    let outcome = runtime.block_on(crate::run::run(&flags.file))?;
    let report = outcome.report;
    println!("{report}");
    if let Some(path) = &flags.json {
        file::write_json(path, &report)?;
    }
    if let Some(path) = &flags.csv {
        file::write_csv(path, &report.seconds)?;
    }
    if let Some(path) = &flags.svg {
        plot::draw(path, &report)?;
    }
    if let Some(path) = &flags.history {
        file::write_json_lines(path, &outcome.history)?;
    }
    Ok(exit_code(report.findings.is_empty()))
}

fn exit_code(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FINDINGS)
    }
}

fn check(flags: &flags::Check) -> Result<ExitCode, Error> {
    let history = history::read(&file::read(&flags.history)?);
    let findings = history::check(&history);
    for finding in &findings {
        println!("{finding}");
    }
    println!("{} records, {} findings", history.lines.len(), findings.len());
    Ok(exit_code(findings.is_empty()))
}

fn policy(flags: &flags::Policy) -> Result<ExitCode, Error> {
    let config = file::read_toml::<Config>(&flags.file)?;
    let mut stats = Vec::new();
    for kind in &config.policies {
        for seed in &config.seeds {
            stats.push(Simulation::new(&config, *kind, *seed).run());
        }
    }
    print!("{}", Table(&stats));
    if let Some(path) = &flags.json {
        file::write_json(path, &stats)?;
    }
    if let Some(path) = &flags.csv {
        file::write_csv(path, &stats)?;
    }
    Ok(ExitCode::SUCCESS)
}
