//! Structured logs on standard output: one JSON object per line, with a bounded rate and without blocking.
//!
//! A bounded queue passes the lines to a writer thread. If it is full, or the limit of lines per second is reached,
//! lines are dropped and counted. The next line that is logged reports the count.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use log4rs::Config;
use log4rs::append::Append;
use log4rs::config::{Appender, Root};

use crate::Error;

/// Maximum number of lines waiting to be written to standard output.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of lines per second. Errors and warnings are logged even beyond it.
const MAX_LINES_PER_SECOND: u64 = 200;

/// Starts logging at this level.
pub fn start(level: LevelFilter) -> Result<(), Error> {
    let failed = |cause: String| Error::Setup(format!("logs: {cause}"));
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    std::thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_lines(&receiver))
        .map_err(|error| failed(error.to_string()))?;
    let root = Root::builder().appender("stdout").build(level);
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(Queue::new(sender))))
        .build(root)
        .map_err(|error| failed(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| failed(error.to_string()))?;
    Ok(())
}

fn write_lines(lines: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        // If standard output is closed, there is nowhere to report the error.
        let _closed = out.write_all(line.as_bytes());
    }
}

/// The queue of lines to write to standard output.
#[derive(Debug)]
pub struct Queue {
    sender: SyncSender<String>,
    second: AtomicU64,
    lines: AtomicU64,
    dropped: AtomicU64,
}

impl Queue {
    /// Creates a queue that sends its lines to this channel.
    pub const fn new(sender: SyncSender<String>) -> Self {
        Self {
            sender,
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    /// Whether the limit of this second allows another line.
    fn admits(&self, level: log::Level, second: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let lines = self.lines.fetch_add(1, Ordering::Relaxed);
        level <= log::Level::Warn || lines < MAX_LINES_PER_SECOND
    }

    fn send(&self, line: String) {
        match self.sender.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if !self.admits(record.level(), now.as_secs()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            metrics::counter!("bilberrylatch_log_lines_dropped_total").increment(dropped);
        }
        self.send(encode(record, now.as_millis(), dropped));
        Ok(())
    }

    fn flush(&self) {}
}

/// Encodes a line: time in Unix milliseconds, level, event and key-value pairs.
pub fn encode(record: &Record<'_>, now_ms: u128, dropped: u64) -> String {
    let mut line = String::with_capacity(192);
    let _infallible = write!(
        line,
        "{{\"time\":{now_ms},\"level\":\"{}\",\"event\":",
        record.level().as_str().to_ascii_lowercase()
    );
    push_json_string(&mut line, &record.args().to_string());
    let mut values = Values(&mut line);
    // A value that fails to be visited is left out of the line.
    let _partial = record.key_values().visit(&mut values);
    if dropped > 0 {
        let _infallible = write!(line, ",\"lines_dropped_before\":{dropped}");
    }
    line.push_str("}\n");
    line
}

struct Values<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Values<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.push(',');
        push_json_string(self.0, key.as_str());
        self.0.push(':');
        if let Some(number) = value.to_i64() {
            let _infallible = write!(self.0, "{number}");
        } else if let Some(number) = value.to_u64() {
            let _infallible = write!(self.0, "{number}");
        } else if let Some(boolean) = value.to_bool() {
            let _infallible = write!(self.0, "{boolean}");
        } else {
            push_json_string(self.0, &value.to_string());
        }
        Ok(())
    }
}

fn push_json_string(line: &mut String, text: &str) {
    line.push('"');
    for character in text.chars() {
        match character {
            '"' => line.push_str("\\\""),
            '\\' => line.push_str("\\\\"),
            '\n' => line.push_str("\\n"),
            character if character.is_control() => {
                let _infallible = write!(line, "\\u{:04x}", u32::from(character));
            }
            character => line.push(character),
        }
    }
    line.push('"');
}
