//! Logs of several nodes are merged by time.

use std::convert::Infallible;

use margins::Sources;

struct Case {
    name: &'static str,
    logs: &'static [&'static [&'static str]],
    /// Index of the log and number of the line, in order.
    order: &'static [(usize, u64)],
}

const CASES: &[Case] = &[
    Case {
        name: "no log",
        logs: &[],
        order: &[],
    },
    Case {
        name: "an empty log beside another",
        logs: &[&[], &[r#"{"time":5,"#]],
        order: &[(1, 1)],
    },
    Case {
        name: "by time; of the same time, the first log goes first",
        logs: &[
            &[r#"{"time":10,"a":1}"#, r#"{"time":30,"a":1}"#],
            &[
                r#"{"time":5,"a":1}"#,
                r#"{"time":10,"a":1}"#,
                r#"{"time":40,"a":1}"#,
            ],
        ],
        order: &[(1, 1), (0, 1), (1, 2), (0, 2), (1, 3)],
    },
    Case {
        name: "a line without a time follows the one before it",
        logs: &[
            &[r#"{"time":10,"a":1}"#, "panicked", r#"{"time":30,"a":1}"#],
            &[r#"{"time":11,"a":1}"#],
        ],
        order: &[(0, 1), (0, 2), (1, 1), (0, 3)],
    },
    Case {
        name: "a log is read in its own order, whatever its times",
        logs: &[
            &[r#"{"time":30,"a":1}"#, r#"{"time":10,"a":1}"#],
            &[r#"{"time":20,"a":1}"#],
        ],
        order: &[(1, 1), (0, 1), (0, 2)],
    },
    Case {
        name: "by the time of the prefix",
        logs: &[
            &[
                r#"  -1.5000 front-a {"time":90,"a":1}"#,
                r#"   2.0000 front-a {"time":91,"a":1}"#,
            ],
            &[r#"   0.1000 front-b {"time":10,"a":1}"#],
        ],
        order: &[(0, 1), (1, 1), (0, 2)],
    },
];

#[test]
fn lines_are_merged_by_time() {
    for case in CASES {
        let logs = case.logs.iter().map(|lines| {
            let lines = lines
                .iter()
                .map(|line| Ok::<_, Infallible>(line.as_bytes().to_vec()));
            lines.collect::<Vec<_>>().into_iter()
        });
        let lines = Sources::new(logs.collect());
        let order: Vec<(usize, u64)> = lines
            .map(|line| line.expect("a line"))
            .map(|line| (line.source, line.number))
            .collect();
        assert_eq!(order, case.order, "{}", case.name);
    }
}

#[test]
fn log_that_fails_is_reported_and_the_others_are_read_on() {
    let broken = vec![
        Ok(b"{\"time\":1,".to_vec()),
        Err("disk"),
        Ok(b"{\"time\":2,".to_vec()),
    ];
    let sound = vec![Ok(b"{\"time\":3,".to_vec())];
    let lines = Sources::new(vec![broken.into_iter(), sound.into_iter()]);
    let found = lines.map(|line| line.map(|line| (line.source, line.number)));
    let found: Vec<_> = found.collect();
    assert_eq!(found, [Ok((0, 1)), Err((0, "disk")), Ok((1, 1))]);
}
