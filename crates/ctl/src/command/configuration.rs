//! `configuration`: checks a configuration of the users' platform before it is sent.

use std::fs;
use std::path::Path;

use ::platform::check::{self, Report};
use catalogue::{Change, Finding, Severity};
use serde::Serialize;

use crate::output::Output;
use crate::{Error, args};

/// A finding for scripts.
#[derive(Debug, Serialize)]
struct Entry<'a> {
    severity: &'static str,
    line: usize,
    column: usize,
    message: &'a str,
}

impl<'a> From<&'a Finding> for Entry<'a> {
    fn from(finding: &'a Finding) -> Self {
        Self {
            severity: match finding.severity {
                Severity::Warning => "warning",
                Severity::Error => "error",
            },
            line: finding.line,
            column: finding.column,
            message: &finding.message,
        }
    }
}

/// What a check found, for scripts.
#[derive(Debug, Serialize)]
struct Document<'a> {
    findings: Vec<Entry<'a>>,
    /// Differences from the configuration in force; `null` if it was not compared with one.
    changes: Option<&'a [Change]>,
}

/// Checks the file, compares it with the configuration in force if that is named, and prints both results.
pub async fn run(output: Output, flags: &args::Configuration) -> Result<(), Error> {
    let text = read(&flags.file)?;
    let in_force = in_force(flags).await?;
    let report = check::check(&text, in_force.as_deref());
    print(output, &flags.file, &report, in_force.is_some());
    let is_error = |finding: &&Finding| finding.severity == Severity::Error;
    match report.findings.as_slice().iter().filter(is_error).count() {
        0 => Ok(()),
        errors => Err(Error::Configuration { errors }),
    }
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|cause| Error::File {
        path: path.to_owned(),
        cause,
    })
}

/// The configuration in force, from a file or the store; `None` if there is none.
async fn in_force(flags: &args::Configuration) -> Result<Option<String>, Error> {
    let store = match (&flags.against, &flags.store) {
        (Some(_file), Some(_store)) => {
            return Err(Error::Usage(
                "--against and --store exclude each other; set one".to_owned(),
            ));
        }
        (Some(file), None) => return read(file).map(Some),
        (None, None) => return Ok(None),
        (None, Some(store)) => store,
    };
    let address = store
        .parse()
        .map_err(|_invalid| Error::Usage(format!("--store: '{store}' is no address; set IP:PORT")))?;
    check::in_force(address).await.map_err(|error| {
        Error::Usage(format!(
            "--store {store}: {error}; check the address, or use --against"
        ))
    })
}

fn print(output: Output, file: &Path, report: &Report, is_compared: bool) {
    let findings = report.findings.as_slice();
    let mut lines: Vec<String> = findings
        .iter()
        .map(|finding| format!("{}:{finding}", file.display()))
        .collect();
    if findings.is_empty() {
        lines.push(format!("{}: no findings", file.display()));
    }
    if is_compared && report.changes.is_empty() {
        lines.push("no difference from the configuration in force".to_owned());
    } else if is_compared {
        lines.push("differences from the configuration in force:".to_owned());
    }
    lines.extend(report.changes.iter().map(|change| format!("  {change}")));
    let document = Document {
        findings: findings.iter().map(Entry::from).collect(),
        changes: is_compared.then_some(&report.changes),
    };
    output.print_text(&lines.join("\n"), &document);
}
