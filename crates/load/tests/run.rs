//! Runs a small experiment from its file to its report, history and plot, and parses all sample files.

use std::path::{Path, PathBuf};

use load::history::{Finding, History, Kind, Record, check};
use load::run::{Experiment, plot};
use load::{file, run};

fn samples_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/experiments")
}

#[tokio::test(flavor = "multi_thread")]
async fn small_experiment_is_answered_without_violations() {
    let outcome = run::run(&samples_dir().join("smoke.toml")).await.unwrap();
    let report = outcome.report;
    assert_eq!(report.streams.len(), 2);
    for stream in &report.streams {
        assert!(stream.arrived > 0);
        assert_eq!(stream.ends.get("answered"), Some(&stream.arrived), "{report}");
        assert!(stream.first.p50 > 0.0 && stream.first.p50 <= stream.whole.max);
    }
    let seconds = report.seconds.iter().map(|second| second.arrived);
    assert_eq!(
        seconds.sum::<u64>(),
        report.streams.iter().map(|stream| stream.arrived).sum::<u64>()
    );
    assert!(report.tokens.decoded > 0 && report.costs.iter().all(|cost| cost.price.is_some()));
    assert_eq!(check(&History::new(&outcome.history)), report.findings);
    // A node of another test may contact a port that it used earlier and that a replica of this test has been assigned
    // since. Its requests are runs of unknown calls here.
    let violations = report
        .findings
        .iter()
        .filter(|finding| finding.kind != Kind::UnknownCall);
    assert_eq!(violations.collect::<Vec<_>>(), Vec::<&Finding>::new());
    let runs = outcome
        .history
        .iter()
        .filter(|record| matches!(record, Record::Run(_)));
    assert!(runs.count() as u64 >= report.streams[0].arrived);
    let svg = std::env::temp_dir().join(format!("bilberrylatch-load-{}.svg", std::process::id()));
    plot::draw(&svg, &report).unwrap();
    let svg_text = file::read(&svg).unwrap();
    std::fs::remove_file(&svg).unwrap();
    assert!(svg_text.starts_with("<svg") && svg_text.contains("answered"));
}

#[test]
fn every_sample_file_parses() {
    let mut count = 0;
    for entry in std::fs::read_dir(samples_dir()).unwrap() {
        let path = entry.unwrap().path();
        let text = file::read(&path).unwrap();
        let parsed = match path.file_stem().unwrap().to_str().unwrap() {
            name if name.ends_with("-catalogue") => toml::from_str::<toml::Table>(&text).is_ok(),
            name if name.ends_with("-policy") => file::read_toml::<load::policy::Config>(&path).is_ok(),
            _ => file::read_toml::<Experiment>(&path).is_ok(),
        };
        assert!(parsed, "cannot parse {}", path.display());
        count += 1;
    }
    assert!(count >= 9);
}
