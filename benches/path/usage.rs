//! CPU time and memory of a process, read from `/proc`.

use std::time::Instant;

use crate::process::Process;

/// Clock ticks per second, the unit of CPU times in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// User and system CPU time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Time of the sample.
    pub sampled_at: Instant,
}

impl Usage {
    /// Reads the current usage of a process.
    pub fn sample(process: &Process) -> Self {
        let pid = process.pid();
        let stat =
            std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process should be running");
        let (_name, fields) = stat
            .rsplit_once(')')
            .expect("fields should follow the process name");
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| {
            fields[index]
                .parse::<f64>()
                .expect("the CPU time should be a number")
        };
        let cpu_seconds = (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_SECOND;
        let status =
            std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process should be running");
        let resident_size = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .expect("the status should contain the resident memory");
        let kilobytes: u64 = resident_size
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("the resident memory should be a number");
        Self {
            cpu_seconds,
            resident_bytes: kilobytes * 1024,
            sampled_at: Instant::now(),
        }
    }

    /// Average CPU usage since `earlier`, in percent of one core.
    pub fn cpu_percent_since(&self, earlier: &Self) -> f64 {
        let elapsed = self.sampled_at.duration_since(earlier.sampled_at).as_secs_f64();
        (self.cpu_seconds - earlier.cpu_seconds) / elapsed * 100.0
    }
}
