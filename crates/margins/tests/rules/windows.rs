//! Sliding windows against a plain oracle, with requests that end in another order than they were sent.

use margins::Report;

use crate::support::{Entry, analyze, ended, failed, row};

/// A request: arrival, time until it ends, and whether it is repeated on its way.
type Request = (u16, u16, bool);

const BOUNDS: &str = "
retry-window-ms = 1000
retry-ratio = 0.5
retry-slack = 2
limit-window-ms = 4000
limit-factor = 1.5
limit-slack = 5
quota-window-ms = 2000
quota-overshoot = 0.0
quota-slack = 1

[workspaces.tills]
rate-per-s = 100
burst = 50
";
const MAX_ARRIVAL_MS: i64 = 6_000;
const MAX_DURATION_MS: i64 = 3_000;

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: i64,
    repeated_at: Option<i64>,
    end: i64,
    tokens: i64,
}

impl Sent {
    fn new((arrival, duration, is_repeated): Request) -> Self {
        let at = 1_000 + i64::from(arrival) % MAX_ARRIVAL_MS;
        let end = at + i64::from(duration) % MAX_DURATION_MS;
        Self {
            at,
            end,
            repeated_at: is_repeated.then_some(i64::midpoint(at, end)),
            tokens: i64::from(duration) % 50,
        }
    }
}

/// Entries in the order of their times, as the merged logs have them.
fn entries(requests: &[Sent]) -> Vec<Entry> {
    let limit = Entry::new("a", 0, "rate limit of a replica changed")
        .text("replica", "r1")
        .number("per_s", 2);
    let mut entries = vec![(0, limit)];
    for (index, request) in requests.iter().enumerate() {
        let node = ["a", "b", "c"][index % 3];
        let id = format!("q{index}");
        let end = ended(node, request.end, &id)
            .text("workspace", "tills")
            .number("tokens", request.tokens)
            .number("took_ms", request.end - request.at);
        match request.repeated_at {
            Some(at) => {
                entries.push((at, failed(node, at, &id, "r1")));
                entries.push((request.end, end.number("attempts", 2)));
            }
            None => entries.push((request.end, end)),
        }
    }
    entries.sort_by_key(|(at, _)| *at);
    entries.into_iter().map(|(_, entry)| entry).collect()
}

/// Largest sum in a window that ends at one of the times.
fn largest(amounts: &[(i64, i64)], window_ms: i64) -> i64 {
    let sum = |end: i64| {
        let inside = amounts
            .iter()
            .filter(|(at, _)| *at <= end && *at > end - window_ms);
        inside.map(|(_, amount)| amount).sum()
    };
    amounts.iter().map(|(at, _)| sum(*at)).max().unwrap_or(0)
}

/// Largest share of the repeats' bound over all windows, at every millisecond.
fn largest_share(requests: &[Sent]) -> f64 {
    const WINDOW_MS: i64 = 1_000;
    let arrivals: Vec<i64> = requests.iter().map(|it| it.at).collect();
    let repeats: Vec<i64> = requests.iter().filter_map(|it| it.repeated_at).collect();
    let count = |times: &[i64], end: i64| {
        let inside = times.iter().filter(|at| **at <= end && **at > end - WINDOW_MS);
        inside.count()
    };
    let share = |end: i64| {
        let most = [0, 500, 1_000].map(|back| count(&arrivals, end - back));
        let most = most.into_iter().max().unwrap_or(0);
        count(&repeats, end) as f64 / (most as f64).mul_add(0.5, 2.0)
    };
    (0..MAX_ARRIVAL_MS + MAX_DURATION_MS + 3_000)
        .map(share)
        .fold(0.0, f64::max)
}

fn worst(report: &Report, rule: &str) -> i64 {
    row(report, rule, "").worst.unwrap_or(0.0) as i64
}

fn windows_match(requests: Vec<Request>) {
    let requests: Vec<Sent> = requests.into_iter().map(Sent::new).collect();
    let report = analyze(BOUNDS, &entries(&requests));
    let sent = requests.iter().flat_map(|it| [Some(it.at), it.repeated_at]);
    let sent: Vec<(i64, i64)> = sent.flatten().map(|at| (at, 1)).collect();
    assert_eq!(worst(&report, "LIMIT"), largest(&sent, 4_000), "LIMIT");
    let tokens: Vec<(i64, i64)> = requests.iter().map(|it| (it.at, it.tokens)).collect();
    assert_eq!(worst(&report, "QUOTA"), largest(&tokens, 2_000), "QUOTA");
    let share = row(&report, "BUDGET", "repeats").share.unwrap_or(0.0);
    let expected = largest_share(&requests);
    assert!(
        (share - expected).abs() < 1e-9,
        "BUDGET: {share}, expected {expected}"
    );
}

#[test]
fn windows_match_a_count_over_all_times() {
    check::property(60, 60, windows_match as fn(Vec<Request>));
}
