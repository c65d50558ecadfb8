//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that threads share. Lines carry the time since its start.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
