//! Plays one fault: does it, waits, undoes it, and notes what was done.

use std::io;
use std::os::unix::process::ExitStatusExt;
use std::time::Duration;

use base::Millis;
use nix::sys::signal::Signal;
use standin::Faults;
use tokio::time::{sleep, timeout};

use super::{RECOVERY, Run, listening};
use crate::disturbance::{Removal, What};
use crate::finding::Rule;
use crate::member::{Ended, Member};
use crate::plan::{Fault, Link, Process, Step};
use crate::proxy::Trouble;

/// Time from SIGTERM to SIGKILL: `grace-s` of both sites and the daemon's default.
const GRACE: Duration = Duration::from_secs(8);

impl Run {
    pub(super) async fn step(&self, step: Step) -> io::Result<()> {
        let span = step.span.as_duration();
        match step.fault {
            Fault::Kill(process) => {
                let from = self.load.now();
                self.deployment.member(process).kill();
                sleep(span).await;
                self.start_again(process, What::Killed, from).await?;
            }
            Fault::Pause(process) => self.pause(process, span).await,
            Fault::Leave(process) => self.leave(process, span).await?,
            Fault::LeavePaused(process) => {
                let from = self.load.now();
                self.announce_pause(process, from, span);
                self.deployment.member(process).signal(Signal::SIGSTOP);
                self.deployment.member(process).signal(Signal::SIGTERM);
                sleep(span).await;
                self.deployment.member(process).signal(Signal::SIGCONT);
                self.disturb(process, What::Paused, from);
                self.leave(process, Duration::ZERO).await?;
                self.disturb(process, What::Left, from);
            }
            Fault::Roll => {
                for number in 0..self.deployment.nodes.len() {
                    self.leave(Process::Node(number), Duration::ZERO).await?;
                }
            }
            Fault::PauseStore => {
                self.deployment.store.signal(Signal::SIGSTOP);
                sleep(span).await;
                self.deployment.store.signal(Signal::SIGCONT);
            }
            Fault::Store(faults) => {
                self.deployment.set_faults(faults).await;
                sleep(span).await;
                self.deployment.set_faults(Faults::default()).await;
            }
            Fault::Link(link, trouble) => {
                let from = self.load.now();
                self.deployment.trouble(link, trouble);
                sleep(span).await;
                self.deployment.trouble(link, Trouble::None);
                if let Link::Callers(number) = link {
                    self.disturb(Process::Node(number), What::Troubled, from);
                }
            }
            Fault::Key => self.take_key(span).await,
        }
        Ok(())
    }

    async fn pause(&self, process: Process, span: Duration) {
        let from = self.load.now();
        self.announce_pause(process, from, span);
        self.deployment.member(process).signal(Signal::SIGSTOP);
        sleep(span).await;
        self.deployment.member(process).signal(Signal::SIGCONT);
        self.disturb(process, What::Paused, from);
    }

    /// Tells a process to end, sees how it does, and starts it again.
    async fn leave(&self, process: Process, span: Duration) -> io::Result<()> {
        let from = self.load.now();
        let member = self.deployment.member(process);
        let generation = member.generation();
        member.signal(Signal::SIGTERM);
        self.see_end(process, member, generation, from).await?;
        let over = Millis(self.load.now().since(from).0).as_duration();
        sleep(span.saturating_sub(over)).await;
        self.start_again(process, What::Left, from).await
    }

    /// Waits for the end of a process that was told to; one that does not end is killed, as the platform would.
    pub(super) async fn see_end(
        &self,
        process: Process,
        member: &Member,
        generation: u64,
        from: Millis,
    ) -> io::Result<()> {
        let ended = member.wait(generation, GRACE).await?;
        let Process::Node(node) = process else {
            if ended == Ended::Running {
                member.kill();
            }
            return Ok(());
        };
        match ended {
            // One that is told to end before it listens need not clean up.
            Ended::Exited(status) if status.signal() == Some(Signal::SIGTERM as i32) && member.is_young() => {
            }
            Ended::Exited(status) if !status.success() => {
                self.find(Rule::Exit, format!("node {node} ended with {status}"));
            }
            Ended::Exited(_) | Ended::Replaced => {}
            Ended::Running => {
                let to = self.load.now();
                if !self.was_paused(node, from) {
                    let seen = format!("node {node} was told to end at {from:?} and still ran at {to:?}");
                    self.find(Rule::Exit, seen);
                }
                member.kill();
                self.disturb(process, What::Killed, to);
            }
        }
        Ok(())
    }

    async fn start_again(&self, process: Process, what: What, from: Millis) -> io::Result<()> {
        self.deployment.member(process).start()?;
        if let Process::Node(number) = process {
            let address = self.deployment.listens[number];
            // One that does not come back is found when the nodes are asked whether they serve.
            let _is_back = timeout(RECOVERY, listening(address)).await;
        }
        self.disturb(process, what, from);
        Ok(())
    }

    async fn take_key(&self, span: Duration) {
        let _one = self.key.lock().await;
        let is_away = self.deployment.take_key().await;
        let from = self.load.now();
        sleep(span).await;
        if is_away {
            let to = self.load.now();
            self.notes().removals.push(Removal { from, to });
        }
        self.deployment.give_key().await;
    }
}
