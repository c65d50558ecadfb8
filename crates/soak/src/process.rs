//! Child processes of the soak test. Only processes that were started here receive signals.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Interval between two checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after a start in which the process may not listen yet.
const STARTUP_PERIOD: Duration = Duration::from_secs(1);
/// Prefix of the output lines in which a replica reports the execution of a request.
const EXECUTED_PREFIX: &str = "ran ";

/// Number of executions of each request, by id.
pub type Executions = Arc<Mutex<HashMap<String, usize>>>;

/// How to start a process.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Program.
    pub program: PathBuf,
    /// Arguments.
    pub arguments: Vec<String>,
    /// Environment variables in addition to the inherited ones.
    pub variables: Vec<(String, String)>,
    /// File to which output is appended.
    pub log: PathBuf,
}

/// Result of waiting for a process to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The process exited or was ended by a signal, other than by [`Process::kill`].
    Exited(ExitStatus),
    /// The process was killed, or has been replaced by a newer one.
    Replaced,
    /// The process is still running.
    Running,
}

/// A process that can be restarted.
#[derive(Debug)]
pub struct Process {
    spec: Spec,
    executions: Executions,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    /// Number of starts so far.
    generation: u64,
    /// Program of the next start, if it is not the specified one.
    program: Option<PathBuf>,
    started: Option<Instant>,
    readers: Vec<JoinHandle<()>>,
}

impl Process {
    /// Creates a process without starting it. Executions that its output reports are counted in `executions`.
    pub fn new(spec: Spec, executions: Executions) -> Self {
        Self {
            spec,
            executions,
            state: Mutex::default(),
        }
    }

    /// Starts the process unless it is running.
    pub fn start(&self) -> io::Result<()> {
        let mut state = self.lock();
        if state.child.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.spec.log)?;
        let program = state.program.as_ref().unwrap_or(&self.spec.program);
        let mut child = Command::new(program)
            .args(&self.spec.arguments)
            .envs(self.spec.variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone()?)
            .spawn()?;
        if let Some(output) = child.stdout.take() {
            let executions = Arc::clone(&self.executions);
            state
                .readers
                .push(std::thread::spawn(move || read_output(output, log, &executions)));
        }
        state.child = Some(child);
        state.generation += 1;
        state.started = Some(Instant::now());
        Ok(())
    }

    /// Sets the program of later starts.
    pub fn set_program(&self, program: PathBuf) {
        self.lock().program = Some(program);
    }

    /// Sends a signal if the process is running.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.lock().child {
            // It may have exited already: its id is not reused until it has been waited for.
            let _ended = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills the process if it is running.
    pub fn kill(&self) {
        if let Some(mut child) = self.lock().child.take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    /// Returns the number of the latest start.
    pub fn generation(&self) -> u64 {
        self.lock().generation
    }

    /// Returns the peak memory of the process in KiB; `None` if it is not running.
    pub fn peak_memory_kib(&self) -> Option<u64> {
        let state = self.lock();
        let child = state.child.as_ref()?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Whether the latest start is so recent that the process may not listen yet.
    pub fn is_starting(&self) -> bool {
        self.lock()
            .started
            .is_some_and(|started| started.elapsed() < STARTUP_PERIOD)
    }

    /// Waits until the process of the given start has exited, at most for `limit`.
    pub async fn wait(&self, generation: u64, limit: Duration) -> io::Result<Status> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            if let Some(status) = self.poll(generation)? {
                return Ok(status);
            }
            if tokio::time::Instant::now() >= deadline {
                return Ok(Status::Running);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn poll(&self, generation: u64) -> io::Result<Option<Status>> {
        let mut state = self.lock();
        if state.generation != generation {
            return Ok(Some(Status::Replaced));
        }
        let Some(child) = &mut state.child else {
            return Ok(Some(Status::Replaced));
        };
        let status = child.try_wait()?;
        if status.is_some() {
            state.child = None;
        }
        Ok(status.map(Status::Exited))
    }

    /// Kills the process and waits until all of its output has been read.
    pub fn finish(&self) {
        self.kill();
        let readers = std::mem::take(&mut self.lock().readers);
        for reader in readers {
            if reader.join().is_err() {
                eprintln!("the output reader for {} panicked", self.spec.log.display());
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Counts the executions that the output reports; writes all other lines to the log.
fn read_output(output: ChildStdout, mut log: File, executions: &Executions) {
    for line in BufReader::new(output).lines() {
        let Ok(line) = line else { return };
        if let Some(id) = line.strip_prefix(EXECUTED_PREFIX) {
            let mut executions = executions.lock().unwrap_or_else(PoisonError::into_inner);
            *executions.entry(id.to_owned()).or_default() += 1;
        } else if let Err(error) = writeln!(log, "{line}") {
            eprintln!("cannot write a line to the log: {error}");
        }
    }
}
