//! `margins`: shows how close each of the users' rules came to breaking.

mod log;

use std::fs;
use std::path::Path;

use ::margins::{Analysis, Bounds, Report, Row, Sources, Verdict};

use self::log::Log;
use crate::output::Output;
use crate::{Error, args};

/// Reads the logs and prints a row for each rule.
pub fn run(output: Output, flags: &args::Margins) -> Result<(), Error> {
    if flags.log.is_empty() {
        return Err(Error::Usage("no logs; name one file or more".to_owned()));
    }
    let file = match &flags.bounds {
        Some(path) => fs::read_to_string(path).map_err(|cause| Error::File {
            path: path.clone(),
            cause,
        })?,
        None => String::new(),
    };
    let bounds = Bounds::parse(&file, &flags.bound).map_err(Error::Usage)?;
    let report = analyze(&flags.log, bounds)?;
    output.print_table(
        &[
            "RULE", "MEASURE", "VERDICT", "BOUND", "WORST", "SHARE", "NODE", "WHERE", "TIME MS", "REQUEST",
            "CASES", "NOTES",
        ],
        report.rows.iter().map(columns).collect(),
        &report,
    );
    if output == Output::Human {
        print_usage(&report);
    }
    Ok(())
}

/// Reads the logs in the order of their times.
pub fn analyze<P>(paths: &[P], bounds: Bounds) -> Result<Report, Error>
where
    P: AsRef<Path>,
{
    let failed = |path: &Path, cause| Error::File {
        path: path.to_owned(),
        cause,
    };
    let mut logs = Vec::new();
    let mut names = Vec::new();
    for path in paths {
        let path = path.as_ref();
        logs.push(Log::open(path).map_err(|cause| failed(path, cause))?);
        let node = path.file_stem().unwrap_or_default();
        names.push((path.display().to_string(), node.to_string_lossy().into_owned()));
    }
    let mut analysis = Analysis::new(bounds);
    for line in Sources::new(logs) {
        let line = line.map_err(|(index, cause)| failed(paths[index].as_ref(), cause))?;
        let (file, node) = &names[line.source];
        analysis.read(file, node, line.number, &line.bytes);
    }
    Ok(analysis.finish())
}

fn columns(row: &Row) -> Vec<String> {
    let text = |text: &Option<String>| text.clone().unwrap_or_else(|| "-".to_owned());
    let number = |number: Option<f64>| number.map_or_else(|| "-".to_owned(), format_number);
    vec![
        row.rule.to_owned(),
        row.measure.to_owned(),
        row.verdict.label().to_owned(),
        number(row.bound),
        number(row.worst),
        row.share
            .map_or_else(|| "-".to_owned(), |share| format!("{share:.3}")),
        text(&row.node),
        text(&row.subject),
        row.time.map_or_else(|| "-".to_owned(), |time| time.to_string()),
        text(&row.request),
        row.cases.to_string(),
        notes(row),
    ]
}

fn notes(row: &Row) -> String {
    let mut notes = Vec::new();
    if row.unbounded > 0 && row.verdict != Verdict::NoBound {
        notes.push(format!("{} cases without a bound", row.unbounded));
    }
    if !row.lacks.is_empty() {
        notes.push(format!("logs lack: {}", row.lacks));
    }
    notes.join("; ")
}

fn format_number(number: f64) -> String {
    if number.fract().abs() < f64::EPSILON {
        format!("{number:.0}")
    } else {
        format!("{number:.1}")
    }
}

/// Prints how much of the logs was used.
fn print_usage(report: &Report) {
    println!(
        "\n{} of {} lines used, {} nodes",
        report.used, report.lines, report.nodes
    );
    if report.left_out_by_nodes > 0 {
        println!(
            "{} lines were left out by the nodes that write them: rows may miss cases, and requests seem to have no outcome",
            report.left_out_by_nodes
        );
    }
    for rejects in &report.rejects {
        println!("{} lines not used: {}", rejects.lines, rejects.reason);
    }
    for reject in &report.rejected {
        println!("  {}:{}: {}", reject.file, reject.line, reject.reason);
    }
    for overflow in &report.overflows {
        println!("{} not counted: {}", overflow.count, overflow.what);
    }
}
