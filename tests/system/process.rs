//! A program under test as a process of its own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Longest wait for a program to say where it listens, or to end.
const TIMEOUT: Duration = Duration::from_mins(1);

/// A running program; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Where it listens for peers, if it is a node.
    pub peer_address: Option<SocketAddr>,
}

impl Process {
    /// Starts a program and waits for its line `listening ADDR`.
    pub fn start(command: &mut Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(child_stderr())
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the program says where it listens");
        let words: Vec<&str> = line.split_whitespace().collect();
        let address = words
            .get(1)
            .and_then(|word| word.parse().ok())
            .expect("an address after 'listening'");
        let peer_address = words.get(3).and_then(|word| word.parse().ok());
        Self {
            child,
            address,
            peer_address,
        }
    }

    /// The base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.pid() as i32), signal).expect("the process is there");
    }

    /// Stops it with SIGSTOP, and waits until none of its threads runs any more.
    pub async fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        let start = Instant::now();
        while !self.is_frozen() {
            assert!(start.elapsed() < TIMEOUT, "the process did not freeze");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn is_frozen(&self) -> bool {
        let threads =
            std::fs::read_dir(format!("/proc/{}/task", self.pid())).expect("the process has threads");
        let mut threads = threads.map(|thread| thread.expect("a thread").path().join("stat"));
        threads.all(|stat| std::fs::read_to_string(stat).is_ok_and(|stat| stat.contains(") T ")))
    }

    /// Waits for the end.
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status;
            }
            assert!(start.elapsed() < TIMEOUT, "the process did not end");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Kills it at once, as a lost VM would end.
    pub fn kill(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Logs are shown only when asked for.
fn child_stderr() -> Stdio {
    if std::env::var_os("BILBERRYLATCH_TEST_LOGS").is_some() {
        Stdio::inherit()
    } else {
        Stdio::null()
    }
}
