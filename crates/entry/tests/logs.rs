//! Logs are JSON objects, one per line, with a bounded queue and rate.

use std::sync::mpsc::sync_channel;

use entry::logs::{Queue, encode};
use log::kv::Source;
use log::{Level, Record};
use log4rs::append::Append;

fn log(queue: &Queue, level: Level, text: &str) {
    let arguments = format_args!("{text}");
    let record = Record::builder().level(level).args(arguments).build();
    queue.append(&record).expect("appended");
}

#[test]
fn lines_are_json() {
    let values: Vec<(&str, log::kv::Value<'_>)> = vec![
        ("id", log::kv::Value::from("a\"b\\c\n")),
        ("took_ms", log::kv::Value::from(12_u64)),
        ("age_ms", log::kv::Value::from(-1_i64)),
        ("allowed", log::kv::Value::from(true)),
    ];
    let source: &dyn Source = &values;
    let line = encode(
        &Record::builder()
            .level(Level::Info)
            .args(format_args!("request ended"))
            .key_values(&source)
            .build(),
        1_700,
        3,
    );
    let value: serde_json::Value = serde_json::from_str(&line).expect("one JSON object");
    assert_eq!(value["time"], 1_700);
    assert_eq!(value["event"], "request ended");
    assert_eq!(value["id"], "a\"b\\c\n");
    assert_eq!(value["took_ms"], 12);
    assert_eq!(value["age_ms"], -1);
    assert_eq!(value["allowed"], true);
    assert_eq!(value["lines_dropped_before"], 3);
    assert!(line.ends_with('\n'));
}

/// If nobody reads the lines, logging does not block and lines beyond the queue's capacity are dropped.
#[test]
fn full_queue_drops_lines() {
    let (sender, receiver) = sync_channel(4);
    let queue = Queue::new(sender);
    for _line in 0..1_000 {
        log(&queue, Level::Warn, "store lost");
    }
    assert_eq!(receiver.try_iter().count(), 4);
    log(&queue, Level::Warn, "store regained");
    let line = receiver.try_recv().expect("a line");
    assert!(line.contains("lines_dropped_before"), "{line}");
}

/// The number of info lines per second is limited; warnings and errors are still logged.
#[test]
fn lines_per_second_are_limited() {
    let (sender, receiver) = sync_channel(100_000);
    let queue = Queue::new(sender);
    for _line in 0..5_000 {
        log(&queue, Level::Info, "request ended");
    }
    log(&queue, Level::Error, "settings not reloaded");
    let lines: Vec<String> = receiver.try_iter().collect();
    // The lines may fall into two seconds, rarely three.
    assert!(lines.len() <= 3 * 200 + 1, "{}", lines.len());
    assert!(
        lines
            .last()
            .is_some_and(|line| line.contains("settings not reloaded"))
    );
}
