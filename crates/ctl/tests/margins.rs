//! `margins`: flags, and logs in files.

use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};

use ctl::Error;
use ctl::args::{Bilberrylatch, BilberrylatchCmd, Margins};
use ctl::command::margins::analyze;
use margins::{Bounds, Report};

struct Case {
    name: &'static str,
    /// Files and their texts.
    files: &'static [(&'static str, &'static str)],
    used: u64,
    /// Reason, file and number of lines that are not used.
    rejected: &'static [(&'static str, &'static str, u64)],
    /// The worst case of DRAIN and its node.
    drain: (Option<f64>, Option<&'static str>),
}

const GONE: &str =
    r#"{"time":1000,"level":"info","event":"replica gone","replica":"r1","endpoint":"engine"}"#;

const CASES: &[Case] = &[
    Case {
        name: "one log with prefixes",
        files: &[(
            "day.out",
            concat!(
                "built in 0.1 s\n",
                r#"  -1.0000 front-a {"time":7,"event":"replica gone","replica":"r1"}"#,
                "\n",
                r#"   0.5000 front-b {"time":9,"event":"request ended","id":"q1","route":"answers","endpoint":"engine","replica":"r1","attempts":1,"took_ms":100}"#,
                "\n",
                r#"   0.6000 front-b {"time":9,"eve"#,
            ),
        )],
        used: 2,
        rejected: &[("foreign", "day.out", 1), ("cut", "day.out", 4)],
        drain: (Some(1_400.0), Some("front-b")),
    },
    Case {
        name: "a log a node, the later one first",
        files: &[
            (
                "front-b.log",
                concat!(
                    r#"{"time":900,"event":"node started"}"#,
                    "\n",
                    r#"{"time":3000,"event":"request ended","id":"q1","route":"answers","endpoint":"engine","replica":"r1","attempts":1,"took_ms":100}"#,
                    "\n",
                ),
            ),
            ("front-a.log", GONE),
        ],
        used: 3,
        rejected: &[],
        drain: (Some(1_900.0), Some("front-b")),
    },
    Case {
        name: "an empty log",
        files: &[("empty.log", "")],
        used: 0,
        rejected: &[],
        drain: (None, None),
    },
];

fn write(folder: &str, files: &[(&str, Vec<u8>)]) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    fs::create_dir_all(&folder).expect("a folder");
    let paths = files.iter().map(|(name, bytes)| {
        let path = folder.join(name);
        fs::write(&path, bytes).expect("a file");
        path
    });
    paths.collect()
}

fn rejected(report: &Report) -> Vec<(&str, &str, u64)> {
    let name = |path| {
        Path::new(path)
            .file_name()
            .and_then(|it| it.to_str())
            .unwrap_or("")
    };
    let lines = report.rejected.iter();
    lines.map(|it| (it.reason, name(&it.file), it.line)).collect()
}

#[test]
fn logs_in_files() {
    for (index, case) in CASES.iter().enumerate() {
        let files: Vec<(&str, Vec<u8>)> = case
            .files
            .iter()
            .map(|(name, text)| (*name, text.as_bytes().to_vec()))
            .collect();
        let paths = write(&format!("margins-{index}"), &files);
        let report = analyze(&paths, Bounds::default()).expect("a report");
        assert_eq!(report.used, case.used, "{}", case.name);
        assert_eq!(rejected(&report), case.rejected, "{}", case.name);
        let drain = &report.rows[0];
        assert_eq!(
            (drain.worst, drain.node.as_deref()),
            case.drain,
            "{}: {drain:?}",
            case.name
        );
    }
}

/// The start of a line that is too long is one line that is cut; the line after it is read.
#[test]
fn line_without_end() {
    let mut bytes = br#"{"time":1,"event":""#.to_vec();
    bytes.resize(5 << 20, b'x');
    bytes.push(b'\n');
    bytes.extend_from_slice(GONE.as_bytes());
    let paths = write("margins-long", &[("front-a.log", bytes)]);
    let report = analyze(&paths, Bounds::default()).expect("a report");
    assert_eq!(rejected(&report), [("cut", "front-a.log", 1)]);
    assert_eq!((report.lines, report.used), (2, 1));
}

#[test]
fn missing_log() {
    let missing = [Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-such.log")];
    let error = analyze(&missing, Bounds::default()).expect_err("no file");
    assert!(
        matches!(&error, Error::File { path, .. } if *path == missing[0]),
        "{error}"
    );
}

#[test]
fn flags() {
    let words = [
        "margins",
        "a.log",
        "--bounds",
        "b.toml",
        "--bound",
        "drain-ms=1",
        "b.log",
        "--bound",
        "attempts=2",
        "--json",
    ];
    let flags = Bilberrylatch::from_vec(words.map(OsString::from).to_vec()).expect("valid flags");
    assert!(flags.json);
    let BilberrylatchCmd::Margins(Margins { log, bounds, bound }) = flags.subcommand else {
        panic!("another command");
    };
    assert_eq!(log, [Path::new("a.log"), Path::new("b.log")]);
    assert_eq!(bounds.as_deref(), Some(Path::new("b.toml")));
    assert_eq!(bound, ["drain-ms=1", "attempts=2"]);
}
