//! A process of the soak. Only processes that were started here are ever signalled.

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

/// Span between two looks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time in which a process that was started may not listen yet.
const STARTUP_PERIOD: Duration = Duration::from_secs(1);
/// Start of the lines that name a request that was run.
const EXECUTED_PREFIX: &str = "ran ";

/// How often requests were run, by id.
pub type Executions = Arc<Mutex<HashMap<String, usize>>>;

/// How to start a process.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Its variables besides the soak's own.
    pub variables: Vec<(String, String)>,
    /// File that its output is added to.
    pub log: PathBuf,
}

/// How a wait for an end went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It ended of itself.
    Exited(ExitStatus),
    /// It was killed, or another one runs in its place.
    Replaced,
    /// It still runs.
    Running,
}

/// A process that may end and be started again.
#[derive(Debug)]
pub struct Process {
    spec: Spec,
    executions: Executions,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    /// Counts starts.
    generation: u64,
    started: Option<Instant>,
    readers: Vec<JoinHandle<()>>,
}

impl Process {
    /// A process that is not started yet; lines that name requests that were run are counted in `runs`.
    pub fn new(spec: Spec, executions: Executions) -> Self {
        Self {
            spec,
            executions,
            state: Mutex::default(),
        }
    }

    /// Starts it if it does not run.
    pub fn start(&self) -> io::Result<()> {
        let mut state = self.lock();
        if state.child.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.spec.log)?;
        let mut child = Command::new(&self.spec.program)
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

    /// Sends a signal if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.lock().child {
            // It may have ended by itself: its number is kept until it was waited for.
            let _ended = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills it if it runs.
    pub fn kill(&self) {
        if let Some(mut child) = self.lock().child.take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    /// Which of its starts this is.
    pub fn generation(&self) -> u64 {
        self.lock().generation
    }

    /// Whether the last start was just now.
    pub fn is_starting(&self) -> bool {
        self.lock()
            .started
            .is_some_and(|started| started.elapsed() < STARTUP_PERIOD)
    }

    /// Waits until the process of this start has ended, for a time.
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

    /// Kills it and waits until all of its output was read.
    pub fn finish(&self) {
        self.kill();
        let readers = std::mem::take(&mut self.lock().readers);
        for reader in readers {
            if reader.join().is_err() {
                eprintln!("the reader of {} panicked", self.spec.log.display());
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

/// Counts requests that were run; other lines go to the log.
fn read_output(output: ChildStdout, mut log: File, executions: &Executions) {
    for line in BufReader::new(output).lines() {
        let Ok(line) = line else { return };
        if let Some(id) = line.strip_prefix(EXECUTED_PREFIX) {
            let mut executions = executions.lock().unwrap_or_else(PoisonError::into_inner);
            *executions.entry(id.to_owned()).or_default() += 1;
        } else if let Err(error) = writeln!(log, "{line}") {
            eprintln!("a line of a log is lost: {error}");
        }
    }
}
