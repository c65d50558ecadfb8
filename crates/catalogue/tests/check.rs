//! A check reports all errors and warnings of a catalogue with their positions in one run.

use catalogue::{Catalogue, Severity, read};

/// A catalogue without errors or warnings.
const VALID: &str = r#"deployment = "d"
region = "r"
zones = ["r-a", "r-b"]

[[workspace]]
name = "school"
token_digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

[[class]]
name = "small"
capacity = 8

[[class.price]]
zone = "r-a"
reclaimable = 0.1
on_demand = 0.3

[[endpoint]]
name = "ledger"
owner = "till team"
kind = "service"
class = "small"
fencing = "ignored"
latency_target_ms = 250
limits = { in_flight = 8, queue = 64 }
versions = ["v1"]
stable = "v1"

[[endpoint.route]]
method = "POST"
path = "/topup"
idempotent = false

[[endpoint.share]]
workspace = "school"
in_flight = 32
"#;

/// A change to the valid catalogue and the expected findings.
struct Case {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    findings: &'static [Expected],
}

struct Expected {
    line: usize,
    column: usize,
    severity: Severity,
    message_part: &'static str,
}

const fn error(line: usize, column: usize, message_part: &'static str) -> Expected {
    Expected {
        line,
        column,
        severity: Severity::Error,
        message_part,
    }
}

const fn warning(line: usize, column: usize, message_part: &'static str) -> Expected {
    Expected {
        line,
        column,
        severity: Severity::Warning,
        message_part,
    }
}

const CASES: [Case; 14] = [
    Case {
        name: "valid",
        from: "",
        to: "",
        findings: &[],
    },
    Case {
        name: "unknown field",
        from: "capacity = 8",
        to: "capacity = 8\ncolour = \"red\"",
        findings: &[error(
            12,
            1,
            "unknown field 'colour'; known here are name, capacity",
        )],
    },
    Case {
        name: "several errors in one line",
        from: "limits = { in_flight = 8, queue = 64 }",
        to: "limits = { in_flight = 0, queue = \"many\", speed = 3 }",
        findings: &[
            error(25, 24, "'in_flight' is 0; it must be a whole number from 1"),
            error(25, 35, "'queue' is \"many\""),
            error(25, 43, "unknown field 'speed'"),
        ],
    },
    Case {
        name: "missing fields",
        from: "owner = \"till team\"\nkind = \"service\"",
        to: "",
        findings: &[
            error(18, 1, "'owner' is missing"),
            error(18, 1, "'kind' is missing"),
        ],
    },
    Case {
        name: "duplicate endpoint",
        from: "[[endpoint.route]]\nmethod = \"POST\"",
        to: "[[endpoint]]\nname = \"ledger\"\n\n[[endpoint.route]]\nmethod = \"POST\"",
        findings: &[
            error(29, 1, "'owner' is missing"),
            error(29, 1, "'kind' is missing"),
            error(29, 1, "'class' is missing"),
            error(29, 1, "'fencing' is missing"),
            error(29, 1, "'latency_target_ms' is missing"),
            error(29, 1, "'limits' is missing"),
            error(29, 1, "'versions' is missing"),
            error(29, 1, "'stable' is missing"),
            warning(18, 1, "no [[endpoint.route]]"),
            warning(18, 1, "no [[endpoint.share]]"),
            error(30, 8, "endpoint 'ledger' stands twice"),
        ],
    },
    Case {
        name: "undeclared names",
        from: "class = \"small\"\nfencing",
        to: "class = \"large\"\nfencing",
        findings: &[
            warning(10, 8, "class 'small': no endpoint runs on it"),
            error(22, 9, "class 'large' is not declared"),
        ],
    },
    Case {
        name: "stable version not among the versions",
        from: "stable = \"v1\"",
        to: "stable = \"v2\"",
        findings: &[
            warning(26, 13, "version 'v1': it serves nothing until a rollout"),
            error(27, 10, "version 'v2' is not declared"),
        ],
    },
    Case {
        name: "share of an unknown workspace",
        from: "workspace = \"school\"",
        to: "workspace = \"schol\"",
        findings: &[
            warning(6, 8, "workspace 'school': no endpoint has a share"),
            error(35, 13, "workspace 'schol' is not declared"),
        ],
    },
    Case {
        name: "value that is not an allowed choice",
        from: "kind = \"service\"",
        to: "kind = \"servise\"",
        findings: &[error(21, 8, "it must be 'engine' or 'service'")],
    },
    Case {
        name: "stream that is not idempotent",
        from: "idempotent = false",
        to: "idempotent = false\nstream = true",
        findings: &[error(29, 1, "a stream is resumed by running the request again")],
    },
    Case {
        name: "token in place of its digest",
        from: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
        to: "secret token",
        findings: &[error(7, 16, "'token_digest' is no digest")],
    },
    Case {
        name: "negative price",
        from: "reclaimable = 0.1\non_demand = 0.3",
        to: "reclaimable = -1",
        findings: &[error(
            15,
            15,
            "'reclaimable' is -1; it must be a price that is not negative",
        )],
    },
    Case {
        name: "syntax error",
        from: "region = \"r\"",
        to: "region = \"r",
        findings: &[error(2, 12, "")],
    },
    Case {
        name: "price in an undeclared zone",
        from: "zone = \"r-a\"",
        to: "zone = \"r-c\"",
        findings: &[error(14, 8, "zone 'r-c' is not declared")],
    },
];

#[test]
fn every_error_is_reported_with_its_position() {
    for case in CASES {
        let text = VALID.replacen(case.from, case.to, 1);
        let checked = read::check(&text);
        let messages: Vec<String> = checked
            .findings
            .as_slice()
            .iter()
            .map(ToString::to_string)
            .collect();
        for expected in case.findings {
            let matches = |finding: &&catalogue::Finding| {
                let same_position = finding.line == expected.line && finding.column == expected.column;
                same_position
                    && finding.severity == expected.severity
                    && finding.message.contains(expected.message_part)
            };
            let found_expected = checked
                .findings
                .as_slice()
                .iter()
                .any(|finding| matches(&finding));
            assert!(
                found_expected,
                "{}: no '{}' at {}:{} in {messages:#?}",
                case.name, expected.message_part, expected.line, expected.column
            );
        }
        assert_eq!(
            messages.len(),
            case.findings.len(),
            "{}: {messages:#?}",
            case.name
        );
        let has_error = case
            .findings
            .iter()
            .any(|expected| expected.severity == Severity::Error);
        assert_eq!(checked.catalogue.is_none(), has_error, "{}", case.name);
    }
}

#[test]
fn valid_catalogue_is_parsed() {
    let catalogue = Catalogue::parse(VALID).unwrap();
    let ledger = catalogue.endpoint("ledger").unwrap();
    assert_eq!(ledger.limits.timeout_ms, 30_000);
    assert!(!ledger.route("POST", "/topup").unwrap().idempotent);
    assert!(ledger.route("GET", "/topup").is_none());
    assert!(ledger.route("POST", "/topups").is_none());
    assert_eq!(catalogue.classes[0].prices[0].reclaimable, Some(0.1));
}

/// A change to the valid catalogue and the diff line expected for it.
struct Edit {
    from: &'static str,
    to: &'static str,
    line: &'static str,
}

const EDITS: [Edit; 3] = [
    Edit {
        from: "queue = 64",
        to: "queue = 65",
        line: "~ endpoint / ledger / limits / queue: 64 -> 65",
    },
    Edit {
        from: "zones = [\"r-a\", \"r-b\"]",
        to: "zones = [\"r-a\"]",
        line: "~ zones: [\"r-a\",\"r-b\"] -> [\"r-a\"]",
    },
    Edit {
        from: "on_demand = 0.3",
        to: "on_demand = 0.4",
        line: "~ class / small / price / r-a / on_demand: 0.3 -> 0.4",
    },
];

#[test]
fn diff_reports_each_changed_field() {
    let before = Catalogue::parse(VALID).unwrap();
    assert!(catalogue::diff::changes(&before, &before).is_empty());
    for edit in EDITS {
        let after = Catalogue::parse(&VALID.replacen(edit.from, edit.to, 1)).unwrap();
        let changes: Vec<String> = catalogue::diff::changes(&before, &after)
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(changes, [edit.line]);
    }
}
