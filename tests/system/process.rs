//! A program under test that runs as a child process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Longest wait for a program to freeze or to exit.
const TIMEOUT: Duration = Duration::from_mins(1);

/// A running program. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Address on which it accepts connections of other nodes, if it is a node.
    pub peer_address: Option<SocketAddr>,
}

impl Process {
    /// Starts a program and waits until it prints `listening ADDRESS`.
    pub fn start(command: &mut Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(child_stderr())
            .spawn()
            .expect("the program should start");
        let stdout = child.stdout.take().expect("stdout should be piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the program should print its listen address");
        let words: Vec<&str> = line.split_whitespace().collect();
        let address = words
            .get(1)
            .and_then(|word| word.parse().ok())
            .expect("an address should follow 'listening'");
        let peer_address = words.get(3).and_then(|word| word.parse().ok());
        Self {
            child,
            address,
            peer_address,
        }
    }

    /// Base URL for requests.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.pid() as i32), signal).expect("the process should exist");
    }

    /// Freezes the process with SIGSTOP and waits until all its threads are stopped.
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
            std::fs::read_dir(format!("/proc/{}/task", self.pid())).expect("the process should have threads");
        let mut threads =
            threads.map(|thread| thread.expect("the thread should be readable").path().join("stat"));
        threads.all(|stat| std::fs::read_to_string(stat).is_ok_and(|stat| stat.contains(") T ")))
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process status should be readable")
            {
                return status;
            }
            assert!(start.elapsed() < TIMEOUT, "the process did not exit");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Kills the process without a graceful shutdown, as when its VM is lost.
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

/// Passes logs through only if `BILBERRYLATCH_TEST_LOGS` is set.
fn child_stderr() -> Stdio {
    if std::env::var_os("BILBERRYLATCH_TEST_LOGS").is_some() {
        Stdio::inherit()
    } else {
        Stdio::null()
    }
}
