//! Processor time and memory of a process, from the system's own accounts.

use std::time::Instant;

use crate::process::Process;

/// Clock ticks a second, as the kernel reports processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time, in seconds.
    pub processor: f64,
    /// Resident memory, in bytes.
    pub memory: u64,
    /// When it was read.
    pub at: Instant,
}

impl Usage {
    /// Reads the accounts of a process.
    pub fn of(process: &Process) -> Self {
        let pid = process.pid();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
        let (_name, fields) = stat.rsplit_once(')').expect("fields after the name");
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<f64>().expect("a number of ticks");
        let processor = (ticks(11) + ticks(12)) / TICKS_PER_SECOND;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .expect("resident memory");
        let kilobytes: u64 = resident
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("kilobytes");
        Self {
            processor,
            memory: kilobytes * 1024,
            at: Instant::now(),
        }
    }

    /// Part of a core used since `earlier`, in percent.
    pub fn percent_since(&self, earlier: &Self) -> f64 {
        let span = self.at.duration_since(earlier.at).as_secs_f64();
        (self.processor - earlier.processor) / span * 100.0
    }
}
