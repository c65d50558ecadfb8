//! Lines that are used, and lines that are not.

use margins::{Analysis, Bounds, Report, Verdict};

use crate::support::{BOUNDS, Entry, changed, configured, ended, failed, gone, row, started};

struct Case {
    name: &'static str,
    line: &'static [u8],
    /// Why the line is not used; `None` if it is.
    reason: Option<&'static str>,
}

const CASES: &[Case] = &[
    Case {
        name: "a line of a node",
        line: br#"{"time":1700,"level":"info","event":"node leaving","waiting":3}"#,
        reason: None,
    },
    Case {
        name: "an event that no rule needs, with values of all types",
        line: br#"{"time":1700,"event":"source of the view changed","before":"store","a":null,"b":[1,{}],"c":{"d":[]},"e":1e3,"attempts":true}"#,
        reason: None,
    },
    Case {
        name: "blanks around it",
        line: b"  {\"time\":1700,\"event\":\"node leaving\"} \r",
        reason: None,
    },
    Case {
        name: "cut in the middle of a text",
        line: br#"{"time":1700,"level":"info","event":"request en"#,
        reason: Some("cut"),
    },
    Case {
        name: "cut after a number",
        line: br#"{"time":17"#,
        reason: Some("cut"),
    },
    Case {
        name: "two lines in one",
        line: br#"{"time":1700,"event":"node l{"time":1700,"event":"node leaving"}"#,
        reason: Some("cut"),
    },
    Case {
        name: "bytes that are no text",
        line: b"{\"time\":1700,\"event\":\"node\xff\xfeleaving\"}",
        reason: Some("cut"),
    },
    Case {
        name: "very deep",
        line: &[b'{'; 4_096],
        reason: Some("cut"),
    },
    Case {
        name: "text of a bench",
        line: b"     7.5 s to      9.5 s  srv_slow 29 replicas",
        reason: Some("foreign"),
    },
    Case {
        name: "text with a brace",
        line: b"thread 'main' panicked at {closure}",
        reason: Some("foreign"),
    },
    Case {
        name: "JSON of something else",
        line: br#"{"score":0.71}"#,
        reason: Some("foreign"),
    },
    Case {
        name: "a prefix, where the other lines have none",
        line: br#"   1.5000 front-a {"time":1700,"event":"node leaving"}"#,
        reason: Some("other form of time"),
    },
    Case {
        name: "the end of a request without an id",
        line: br#"{"time":1700,"event":"request ended","route":"answers","took_ms":3}"#,
        reason: Some("incomplete"),
    },
    Case {
        name: "a number that is none",
        line: br#"{"time":1700,"event":"configuration in force","version":"four"}"#,
        reason: Some("incomplete"),
    },
];

fn read(lines: &[&[u8]]) -> Report {
    let bounds = Bounds::parse(BOUNDS, &[]).expect("bounds");
    let mut analysis = Analysis::new(bounds);
    for (index, line) in lines.iter().enumerate() {
        analysis.read("day.log", "day", index as u64 + 1, line);
    }
    analysis.finish()
}

#[test]
fn lines_that_are_not_used_are_counted_and_named() {
    const FIRST: &[u8] = br#"{"time":1600,"event":"node started"}"#;
    for case in CASES {
        let report = read(&[FIRST, case.line]);
        assert_eq!(report.lines, 2, "{}", case.name);
        let used = if case.reason.is_some() { 1 } else { 2 };
        assert_eq!(report.used, used, "{}", case.name);
        let reasons: Vec<&str> = report.rejects.iter().map(|it| it.reason).collect();
        assert_eq!(reasons, case.reason.as_slice(), "{}", case.name);
        let named: Vec<(&str, u64)> = report
            .rejected
            .iter()
            .map(|it| (it.file.as_str(), it.line))
            .collect();
        let expected = if case.reason.is_some() {
            vec![("day.log", 2)]
        } else {
            vec![]
        };
        assert_eq!(named, expected, "{}", case.name);
    }
}

#[test]
fn node_and_time_of_a_prefix_go_before_those_of_the_line() {
    let report = read(&[
        br#" -13.9919 front-a {"time":90000,"event":"replica gone","replica":"r1"}"#,
        br#" -12.0000 front-b {"time":10,"event":"request ended","id":"q1","route":"answers","endpoint":"engine","workspace":"","replica":"r1","attempts":1,"took_ms":0}"#,
    ]);
    let row = row(&report, "DRAIN", "all nodes");
    assert_eq!(row.worst, Some(1_992.0));
    assert_eq!(row.node.as_deref(), Some("front-b"));
    assert_eq!(row.time, Some(-12_000));
    assert_eq!(report.nodes, 2);
}

/// No more lines are named than somebody reads, and a line that is cut is named beside many foreign ones.
#[test]
fn named_lines_are_bounded_by_reason() {
    let mut lines: Vec<&[u8]> = vec![b"text"; 5_000];
    lines.push(br#"{"time":"#);
    let report = read(&lines);
    let counts: Vec<(&str, u64)> = report.rejects.iter().map(|it| (it.reason, it.lines)).collect();
    assert_eq!(counts, [("cut", 1), ("foreign", 5_000)]);
    assert_eq!(report.rejected.len(), 11);
    assert_eq!(report.rejected.last().map(|it| it.line), Some(5_001));
}

#[test]
fn lines_that_nodes_left_out_are_counted() {
    let report = read(&[
        br#"{"time":1,"event":"node changed","lines_dropped_before":40}"#,
        br#"{"time":2,"event":"node changed","lines_dropped_before":2}"#,
    ]);
    assert_eq!(report.left_out_by_nodes, 42);
}

/// Without a line, every rule says that it has no case or that the logs hold nothing on it.
#[test]
fn empty_logs_pass_nothing() {
    let report = read(&[]);
    assert!(report.rows.len() >= 19, "{}", report.rows.len());
    for row in &report.rows {
        assert!(
            matches!(row.verdict, Verdict::NoCase | Verdict::NoData),
            "{row:?}"
        );
        assert_eq!((row.cases, row.worst), (0, None), "{row:?}");
    }
}

/// An event whose place in the order has passed is counted, not judged.
#[test]
fn events_that_come_too_late_are_counted() {
    let report = read(&[
        br#"{"time":1000000,"event":"replica gone","replica":"r1"}"#,
        br#"{"time":2000000,"event":"node leaving"}"#,
        br#"{"time":1000,"event":"replica gone","replica":"r2"}"#,
    ]);
    assert_eq!(row(&report, "DRAIN", "all nodes").cases, 1);
    assert_eq!(report.overflows.len(), 1);
    assert!(report.overflows[0].what.contains("clocks that went back"));
}

/// Template, times, and what becomes of the line: bytes that are cut off, and one that is changed.
type Damage = (u8, i64, u64, u16, (u16, u8));

fn template(index: u8, time: i64, amount: u64) -> Entry {
    let amount = amount as i64;
    match index % 12 {
        0 => started("a", time),
        1 => configured("a", time, amount).text("version", &format!("{amount}e3")),
        2 => changed("a", time, "r1", "draining"),
        3 => changed("a", time, "r1", "ready"),
        4 => gone("a", time, "r1"),
        5 => failed("a", time, "q1", "r1"),
        6 => ended("a", time, "q1")
            .number("attempts", amount % 40)
            .number("took_ms", amount),
        7 => ended("a", time, "q2")
            .number("tokens", amount)
            .text("workspace", "tills"),
        8 => Entry::new("a", time, "replica wants no requests")
            .text("replica", "r1")
            .number("asked_ms", amount),
        9 => Entry::new("a", time, "rate limit of a replica changed")
            .text("replica", "r1")
            .number("per_s", amount),
        10 => Entry::new("a", time, "move ordered")
            .text("endpoint", "engine")
            .text("target", "v1")
            .number("within_ms", amount),
        _ => Entry::new("a", time, "node ends").number("waiting", amount),
    }
}

fn damaged_lines_are_counted(damages: Vec<Damage>) {
    let bounds = Bounds::parse(BOUNDS, &[]).expect("bounds");
    let mut analysis = Analysis::new(bounds);
    for (index, (kind, time, amount, cut, (position, byte))) in damages.into_iter().enumerate() {
        let mut line = template(kind, time, amount).line().into_bytes();
        // Half of the lines are whole.
        if cut % 2 == 0 {
            line.truncate(usize::from(cut) % (line.len() + 1));
        }
        if position % 3 == 0 && !line.is_empty() {
            let position = usize::from(position) % line.len();
            line[position] = byte;
        }
        analysis.read("day.log", "a", index as u64 + 1, &line);
    }
    let report = analysis.finish();
    let rejects: u64 = report.rejects.iter().map(|it| it.lines).sum();
    assert_eq!(report.used + rejects, report.lines);
}

#[test]
fn damaged_lines_never_stop_the_analysis() {
    check::property(2_000, 40, damaged_lines_are_counted as fn(Vec<Damage>));
}

/// What a table has no room for is counted by name; the entries before it are still judged.
#[test]
fn full_tables_are_named() {
    const MAX_REPLICAS: usize = 1 << 16;
    let bounds = Bounds::parse(BOUNDS, &[]).expect("bounds");
    let mut analysis = Analysis::new(bounds);
    for index in 0..MAX_REPLICAS + 3 {
        let entry = Entry::new("a", 1_000, "rate limit of a replica changed")
            .text("replica", &format!("r{index}"))
            .number("per_s", 1);
        analysis.read("day.log", "a", index as u64 + 1, entry.line().as_bytes());
    }
    for (id, replica) in [("q1", 1), ("q2", MAX_REPLICAS + 1)] {
        let entry = ended("a", 2_000, id).text("replica", &format!("r{replica}"));
        analysis.read("day.log", "a", 0, entry.line().as_bytes());
    }
    let report = analysis.finish();
    assert_eq!(row(&report, "LIMIT", "").cases, 1);
    let overflows: Vec<(&str, u64)> = report.overflows.iter().map(|it| (it.what, it.count)).collect();
    assert_eq!(
        overflows,
        [("LIMIT: replicas that named a limit, or requests to one", 3)]
    );
}
