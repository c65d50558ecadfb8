//! The record of a run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start.
pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Self, String> {
        let file = File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("not poisoned");
        writeln!(file, "{at:9.3} {text}").expect("the record can be written");
    }

    pub fn flush(&self) {
        self.file.lock().expect("not poisoned").flush().expect("the record can be written");
    }
}
