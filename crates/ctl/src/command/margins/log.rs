//! The lines of a log file.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;

/// Maximum length of a line in bytes. The rest of a longer one is skipped.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// A log file, read line by line.
#[derive(Debug)]
pub struct Log {
    file: BufReader<File>,
}

impl Log {
    /// Opens a file.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = BufReader::new(File::open(path)?);
        Ok(Self { file })
    }

    fn read_line(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut line = Vec::new();
        let read = self
            .file
            .by_ref()
            .take(MAX_LINE_BYTES)
            .read_until(b'\n', &mut line)?;
        if read == 0 {
            return Ok(None);
        }
        if line.last() == Some(&b'\n') {
            line.pop();
        } else if read as u64 == MAX_LINE_BYTES {
            self.file.skip_until(b'\n')?;
        }
        Ok(Some(line))
    }
}

impl Iterator for Log {
    type Item = io::Result<Vec<u8>>;

    fn next(&mut self) -> Option<Self::Item> {
        self.read_line().transpose()
    }
}
