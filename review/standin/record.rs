//! The record of a case.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let _written = writeln!(file, "{seconds:9.3} s  {text}");
    }

    /// Adds a line to the record and shows it.
    pub fn say(&self, text: &str) {
        self.line(text);
        // Whoever reads it may have gone.
        let _shown = writeln!(std::io::stdout(), "{text}");
    }
}
