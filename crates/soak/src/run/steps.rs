//! Plays one fault: does it, waits, undoes it, and notes what was done.

use std::io;
use std::os::unix::process::ExitStatusExt;
use std::time::Duration;

use base::Millis;
use nix::sys::signal::Signal;
use standin::Faults;
use tokio::time::{sleep, timeout};

use super::{RECOVERY, Run, listening};
use crate::disruption::{Cause, Revocation};
use crate::finding::Rule;
use crate::member::{Ended, Member};
use crate::plan::{Fault, Link, Step, Target};
use crate::proxy::Impairment;

/// Time from SIGTERM to SIGKILL: `grace-s` of both sites and the daemon's default.
const GRACE: Duration = Duration::from_secs(8);

impl Run {
    pub(super) async fn step(&self, step: Step) -> io::Result<()> {
        let span = step.span.as_duration();
        match step.fault {
            Fault::Kill(target) => {
                let from = self.load.now();
                self.deployment.member(target).kill();
                sleep(span).await;
                self.start_again(target, Cause::Killed, from).await?;
            }
            Fault::Pause(target) => self.pause(target, span).await,
            Fault::Leave(target) => self.leave(target, span).await?,
            Fault::LeavePaused(target) => {
                let from = self.load.now();
                self.announce_pause(target, from, span);
                self.deployment.member(target).signal(Signal::SIGSTOP);
                self.deployment.member(target).signal(Signal::SIGTERM);
                sleep(span).await;
                self.deployment.member(target).signal(Signal::SIGCONT);
                self.disturb(target, Cause::Paused, from);
                self.leave(target, Duration::ZERO).await?;
                self.disturb(target, Cause::Terminated, from);
            }
            Fault::Roll => {
                for number in 0..self.deployment.nodes.len() {
                    self.leave(Target::Node(number), Duration::ZERO).await?;
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
            Fault::Link(link, impairment) => {
                let from = self.load.now();
                self.deployment.impair(link, impairment);
                sleep(span).await;
                self.deployment.impair(link, Impairment::None);
                if let Link::Callers(number) = link {
                    self.disturb(Target::Node(number), Cause::Impaired, from);
                }
            }
            Fault::Key => self.take_key(span).await,
        }
        Ok(())
    }

    async fn pause(&self, target: Target, span: Duration) {
        let from = self.load.now();
        self.announce_pause(target, from, span);
        self.deployment.member(target).signal(Signal::SIGSTOP);
        sleep(span).await;
        self.deployment.member(target).signal(Signal::SIGCONT);
        self.disturb(target, Cause::Paused, from);
    }

    /// Tells a process to end, sees how it does, and starts it again.
    async fn leave(&self, target: Target, span: Duration) -> io::Result<()> {
        let from = self.load.now();
        let member = self.deployment.member(target);
        let generation = member.generation();
        member.signal(Signal::SIGTERM);
        self.see_end(target, member, generation, from).await?;
        let over = Millis(self.load.now().since(from).0).as_duration();
        sleep(span.saturating_sub(over)).await;
        self.start_again(target, Cause::Terminated, from).await
    }

    /// Waits for the end of a process that was told to; one that does not end is killed, as the platform would.
    pub(super) async fn see_end(
        &self,
        target: Target,
        member: &Member,
        generation: u64,
        from: Millis,
    ) -> io::Result<()> {
        let ended = member.wait(generation, GRACE).await?;
        let Target::Node(node) = target else {
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
                self.disturb(target, Cause::Killed, to);
            }
        }
        Ok(())
    }

    async fn start_again(&self, target: Target, cause: Cause, from: Millis) -> io::Result<()> {
        self.deployment.member(target).start()?;
        if let Target::Node(number) = target {
            let address = self.deployment.listens[number];
            // One that does not come back is found when the nodes are asked whether they serve.
            let _is_back = timeout(RECOVERY, listening(address)).await;
        }
        self.disturb(target, cause, from);
        Ok(())
    }

    async fn take_key(&self, span: Duration) {
        let _one = self.key.lock().await;
        let is_away = self.deployment.take_key().await;
        let from = self.load.now();
        sleep(span).await;
        if is_away {
            let to = self.load.now();
            self.notes().revocations.push(Revocation { from, to });
        }
        self.deployment.give_key().await;
    }
}
