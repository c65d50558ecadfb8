//! Arguments of the daemon and the command-line tool: all errors are reported together, and each kind of failure has
//! its own exit code.

use std::net::TcpListener;
use std::process::{Command, Output};

/// Flags with valid settings.
const VALID_FLAGS: [&str; 10] = [
    "--name",
    "node-0",
    "--zone",
    "demo-a",
    "--region",
    "demo",
    "--store",
    "http://127.0.0.1:1",
    "--cloud",
    "http://127.0.0.1:1",
];

/// Flags and variables of the daemon, and the expected exit code and texts of its output.
struct Case {
    name: &'static str,
    flags: &'static [&'static str],
    variables: &'static [(&'static str, &'static str)],
    exit_code: i32,
    expected_texts: &'static [&'static str],
}

const SECRETS: [(&str, &str); 2] = [
    ("BILBERRYLATCH_PEER_SECRET", "sixteen-characters"),
    ("BILBERRYLATCH_OPERATOR_TOKEN", "sixteen-characters"),
];

const CASES: [Case; 6] = [
    Case {
        name: "valid settings",
        flags: &["--check"],
        variables: &SECRETS,
        exit_code: 0,
        expected_texts: &["settings are in order"],
    },
    Case {
        name: "missing secrets",
        flags: &["--check"],
        variables: &[],
        exit_code: 2,
        expected_texts: &[
            "BILBERRYLATCH_PEER_SECRET: missing",
            "BILBERRYLATCH_OPERATOR_TOKEN: missing",
        ],
    },
    Case {
        name: "several invalid settings",
        flags: &[
            "--check",
            "--listen",
            "nowhere",
            "--drain-seconds",
            "-1",
            "--log-format",
            "xml",
        ],
        variables: &[("BILBERRYLATCH_PEERS", "10.0.0.1"), SECRETS[0], SECRETS[1]],
        exit_code: 2,
        expected_texts: &[
            "--listen: 'nowhere' is not an IP address and port",
            "--drain-seconds: '-1' is not whole seconds",
            "--log-format: 'xml' is not human or json",
            "BILBERRYLATCH_PEERS: '10.0.0.1' is not IP:PORT addresses",
        ],
    },
    Case {
        name: "flag overrides its variable",
        flags: &["--check", "--log-level", "info"],
        variables: &[("BILBERRYLATCH_LOG_LEVEL", "loud"), SECRETS[0], SECRETS[1]],
        exit_code: 0,
        expected_texts: &[],
    },
    Case {
        name: "unknown flag",
        flags: &["--chek"],
        variables: &SECRETS,
        exit_code: 2,
        expected_texts: &["--chek"],
    },
    Case {
        name: "secret that is too short is not printed",
        flags: &["--check"],
        variables: &[("BILBERRYLATCH_PEER_SECRET", "hunter2"), SECRETS[1]],
        exit_code: 2,
        expected_texts: &["BILBERRYLATCH_PEER_SECRET: missing or too short"],
    },
];

fn run_daemon(flags: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bilberrylatchd"));
    command
        .env_clear()
        .args(VALID_FLAGS)
        .args(flags)
        .envs(variables.iter().copied());
    command.output().expect("the daemon should run")
}

#[test]
fn all_setting_errors_are_reported_together() {
    for case in CASES {
        let output = run_daemon(case.flags, case.variables);
        let text = format!(
            "{}{}",
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        );
        assert_eq!(
            output.status.code(),
            Some(case.exit_code),
            "{}: {text}",
            case.name
        );
        for expected in case.expected_texts {
            assert!(
                text.contains(expected),
                "{}: '{expected}' is missing in: {text}",
                case.name
            );
        }
        assert!(!text.contains("hunter2"), "a secret was printed");
    }
}

#[test]
fn port_in_use_is_named_and_has_its_own_exit_code() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let output = run_daemon(&["--listen", &address, "--peer-listen", "127.0.0.1:0"], &SECRETS);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(&address) && text.contains("--listen"), "{text}");
}

/// A command of the command-line tool that fails, its exit code and a text of its error message.
struct Failure {
    arguments: &'static [&'static str],
    exit_code: i32,
    expected_stderr: &'static str,
}

const FAILURES: [Failure; 3] = [
    Failure {
        arguments: &["catalogue", "check", "no-such-file.toml"],
        exit_code: 2,
        expected_stderr: "no-such-file.toml",
    },
    Failure {
        arguments: &["--node", "http://127.0.0.1:1", "nodes"],
        exit_code: 3,
        expected_stderr: "--node",
    },
    Failure {
        arguments: &["rollout", "start", "ledger"],
        exit_code: 2,
        expected_stderr: "which version",
    },
];

#[test]
fn cli_errors_name_what_to_change() {
    for failure in FAILURES {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bilberrylatch"));
        let output = command
            .env("BILBERRYLATCH_OPERATOR_TOKEN", "x")
            .args(failure.arguments)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(failure.exit_code), "{text}");
        assert!(text.contains(failure.expected_stderr), "{text}");
    }
}

#[test]
fn sample_catalogues_are_valid() {
    for sample in ["taliesin-tills.toml", "husleiegaranti.toml"] {
        let path = format!("{}/samples/{sample}", env!("CARGO_MANIFEST_DIR"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_bilberrylatch"));
        let output = command.args(["catalogue", "check", &path]).output().unwrap();
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        assert!(
            output.stderr.is_empty(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
}
