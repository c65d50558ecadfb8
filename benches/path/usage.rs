//! Processor time and memory of a process, from the system's own accounts.

use std::time::Instant;

use crate::process::Process;

/// Clock ticks a second, as the kernel reports processor time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// When it was read.
    pub sampled_at: Instant,
}

impl Usage {
    /// Reads the accounts of a process.
    pub fn sample(process: &Process) -> Self {
        let pid = process.pid();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
        let (_name, fields) = stat.rsplit_once(')').expect("fields after the name");
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<f64>().expect("a number of ticks");
        let cpu_seconds = (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_SECOND;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
        let resident_size = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .expect("resident memory");
        let kilobytes: u64 = resident_size
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("kilobytes");
        Self {
            cpu_seconds,
            resident_bytes: kilobytes * 1024,
            sampled_at: Instant::now(),
        }
    }

    /// Part of a core used since `earlier`, in percent.
    pub fn cpu_percent_since(&self, earlier: &Self) -> f64 {
        let elapsed = self.sampled_at.duration_since(earlier.sampled_at).as_secs_f64();
        (self.cpu_seconds - earlier.cpu_seconds) / elapsed * 100.0
    }
}
