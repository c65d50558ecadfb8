//! Short soak runs with fixed seeds. Violations of time limits are printed but don't fail the test, as a busy machine
//! alone can cause them.

use std::process::Command;

/// Arguments of a short run with few processes and of a full run whose seed once found a violation.
const RUN_ARGUMENTS: [&[&str]; 2] = [
    &[
        "--seed",
        "70",
        "--count",
        "2",
        "--seconds",
        "3",
        "--nodes",
        "2",
        "--replicas",
        "3",
        "--callers",
        "6",
    ],
    &["--seed", "1"],
];

#[test]
fn soak_runs_find_no_violation() {
    let logs = env!("CARGO_TARGET_TMPDIR");
    for arguments in RUN_ARGUMENTS {
        let output = Command::new(env!("CARGO_BIN_EXE_bilberrylatch-soak"))
            .args([
                "run",
                "--untimed",
                "--logs",
                logs,
                "--daemon",
                env!("CARGO_BIN_EXE_bilberrylatchd"),
            ])
            .args(arguments)
            .output()
            .expect("the soak should run");
        let stdout = String::from_utf8_lossy(&output.stdout);
        let stderr = String::from_utf8_lossy(&output.stderr);
        println!("{stdout}");
        assert!(output.status.success(), "{arguments:?}: {stdout}{stderr}");
        let request_count = stdout
            .split_whitespace()
            .skip_while(|word| !word.starts_with("seed"))
            .nth(2);
        let request_count: usize = request_count
            .and_then(|word| word.parse().ok())
            .expect("the output should contain a request count");
        assert!(request_count > 0, "{stdout}");
    }
}

/// Nodes of a cluster that is large enough for sums, two thirds of them cut off from all replicas.
#[test]
fn requests_at_cut_off_nodes_are_served_less_often() {
    let logs = env!("CARGO_TARGET_TMPDIR");
    let output = Command::new(env!("CARGO_BIN_EXE_bilberrylatch-soak"))
        .args([
            "cuts",
            "--seed",
            "1",
            "--nodes",
            "56",
            "--replicas",
            "24",
            "--rate",
            "150",
        ])
        .args([
            "--which",
            "two-thirds",
            "--link",
            "reset",
            "--seconds",
            "7",
            "--logs",
            logs,
        ])
        .output()
        .expect("the soak should run");
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    println!("{stdout}");
    assert!(output.status.success(), "{stdout}{stderr}");
}
