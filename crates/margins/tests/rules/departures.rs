//! Departures of a replica that nodes learn of at different times, against what truly happened.

use margins::Verdict;

use crate::support::{Entry, analyze, changed, ended, gone, row};

const NODES: [&str; 3] = ["a", "b", "c"];
/// Time by which a node learns of a change later than it happens. Further changes may follow sooner, except the second: a
/// node that knows of no departure when the next one begins can't be told from one that knows of the next.
const MAX_LAG_MS: i64 = 400;
const MIN_PAUSE_MS: i64 = 20;

/// Time from the change before, and the time by which each node learns of it later.
type Change = (u16, [u16; 3]);

fn change(input: (u16, u16, u16, u16)) -> Change {
    (input.0, [input.1, input.2, input.3])
}

/// Changes happen at even milliseconds and requests are sent at odd ones, so that their order is known.
fn even(value: i64) -> i64 {
    value / 2 * 2
}

#[derive(Clone, Copy, Debug)]
struct Known {
    /// When the first node knew that the replica left.
    left: i64,
    /// When the first node knew that it is back.
    back: i64,
}

/// The departures, with the lines of the nodes.
fn play(changes: &[Change]) -> (Vec<Known>, Vec<(i64, Entry)>) {
    let mut now = 1_000;
    let mut departures: Vec<Known> = Vec::new();
    let mut entries = Vec::new();
    let mut last = [now; NODES.len()];
    for (index, (pause, lags)) in changes.iter().enumerate() {
        let min_pause = if index <= 2 { MAX_LAG_MS } else { MIN_PAUSE_MS };
        now += min_pause + even(i64::from(*pause) % 1_000);
        let leaves = index % 2 == 0;
        // A node learns of changes in their order.
        for (last, lag) in last.iter_mut().zip(lags) {
            *last = (*last).max(now + even(i64::from(*lag) % MAX_LAG_MS));
        }
        let first = last.into_iter().min().unwrap_or(now);
        match departures.last_mut().filter(|_| !leaves) {
            Some(departure) => departure.back = first,
            None => departures.push(Known {
                left: first,
                back: i64::MAX,
            }),
        }
        for (node, at) in NODES.into_iter().zip(last) {
            if !leaves {
                entries.push((at, changed(node, at, "r1", "ready")));
                continue;
            }
            // Some nodes hear that it drains before it is gone.
            if at % 4 == 0 {
                entries.push((at, changed(node, at, "r1", "draining")));
            }
            entries.push((at, gone(node, at, "r1")));
        }
    }
    (departures, entries)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "a property takes its input by value"
)]
fn departures_match(changes: Vec<(u16, u16, u16, u16)>, sends: Vec<u16>) {
    let changes: Vec<Change> = changes.iter().copied().map(change).collect();
    let (departures, mut entries) = play(&changes);
    let sends: Vec<i64> = sends.iter().map(|at| even(i64::from(*at)) + 1).collect();
    for (index, at) in sends.iter().enumerate() {
        let entry = ended(NODES[index % NODES.len()], *at, &format!("q{index}"));
        entries.push((*at, entry));
    }
    entries.sort_by_key(|(at, _)| *at);
    let entries: Vec<Entry> = entries.into_iter().map(|(_, entry)| entry).collect();
    let report = analyze("drain-ms = 1", &entries);
    let drain = row(&report, "DRAIN", "all nodes");
    assert_eq!(drain.cases, departures.len() as u64);
    if departures.is_empty() {
        assert_eq!(drain.verdict, Verdict::NoCase);
        return;
    }
    let after = |at: i64| {
        let mut away = departures.iter().filter(|it| it.left <= at && at < it.back);
        away.next().map_or(0, |departure| at - departure.left)
    };
    let worst = sends.iter().map(|at| after(*at)).max().unwrap_or(0);
    assert_eq!(drain.worst, Some(worst as f64));
}

#[test]
fn departures_match_what_happened() {
    let property = departures_match as fn(Vec<(u16, u16, u16, u16)>, Vec<u16>);
    check::property(500, 40, property);
}
