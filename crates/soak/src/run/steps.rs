//! Injects a single fault: applies it, waits, reverts it and records the disruption.

use std::io;
use std::os::unix::process::ExitStatusExt;
use std::time::Duration;

use base::Millis;
use nix::sys::signal::Signal;
use standin::Faults;
use tokio::time::{sleep, timeout};

use super::{RECOVERY_TIMEOUT, Run, wait_for_listener};
use crate::disruption::{Cause, Revocation};
use crate::finding::Rule;
use crate::plan::{Fault, Link, Step, Target};
use crate::process::{Process, Status};
use crate::proxy::Impairment;

/// Time from SIGTERM to SIGKILL: `grace-s` of both sites and the daemon's default.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

impl Run {
    pub(super) async fn inject(&self, step: Step) -> io::Result<()> {
        let span = step.span.as_duration();
        match step.fault {
            Fault::Kill(target) => {
                let from = self.workload.now();
                self.deployment.process(target).kill();
                sleep(span).await;
                self.restart(target, Cause::Killed, from).await?;
            }
            Fault::Pause(target) => self.pause(target, span).await,
            Fault::Leave(target) => self.terminate(target, span).await?,
            Fault::LeavePaused(target) => {
                let from = self.workload.now();
                self.record_planned_pause(target, from, span);
                self.deployment.process(target).signal(Signal::SIGSTOP);
                self.deployment.process(target).signal(Signal::SIGTERM);
                sleep(span).await;
                self.deployment.process(target).signal(Signal::SIGCONT);
                self.record_until_now(target, Cause::Paused, from);
                self.terminate(target, Duration::ZERO).await?;
                self.record_until_now(target, Cause::Terminated, from);
            }
            Fault::Roll => {
                for number in 0..self.deployment.nodes.len() {
                    self.terminate(Target::Node(number), Duration::ZERO).await?;
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
                let from = self.workload.now();
                self.deployment.impair(link, impairment);
                sleep(span).await;
                self.deployment.impair(link, Impairment::None);
                if let Link::Callers(number) = link {
                    self.record_until_now(Target::Node(number), Cause::Impaired, from);
                }
            }
            Fault::Key => self.revoke_key(span).await,
        }
        Ok(())
    }

    async fn pause(&self, target: Target, span: Duration) {
        let from = self.workload.now();
        self.record_planned_pause(target, from, span);
        self.deployment.process(target).signal(Signal::SIGSTOP);
        sleep(span).await;
        self.deployment.process(target).signal(Signal::SIGCONT);
        self.record_until_now(target, Cause::Paused, from);
    }

    /// Sends SIGTERM to a process, checks how it exits, and restarts it once `span` has elapsed.
    pub(super) async fn terminate(&self, target: Target, span: Duration) -> io::Result<()> {
        let from = self.workload.now();
        let process = self.deployment.process(target);
        let generation = process.generation();
        process.signal(Signal::SIGTERM);
        self.wait_for_exit(target, process, generation, from).await?;
        let elapsed = Millis(self.workload.now().since(from).0).as_duration();
        sleep(span.saturating_sub(elapsed)).await;
        self.restart(target, Cause::Terminated, from).await
    }

    /// Waits for the exit of a process that was sent SIGTERM. If it does not exit in time, it is killed, as the
    /// platform would do.
    pub(super) async fn wait_for_exit(
        &self,
        target: Target,
        process: &Process,
        generation: u64,
        from: Millis,
    ) -> io::Result<()> {
        let status = process.wait(generation, GRACE_PERIOD).await?;
        let Target::Node(node) = target else {
            if status == Status::Running {
                process.kill();
            }
            return Ok(());
        };
        match status {
            // A node that gets SIGTERM before it listens need not shut down gracefully.
            Status::Exited(status)
                if status.signal() == Some(Signal::SIGTERM as i32) && process.is_starting() => {}
            Status::Exited(status) if !status.success() => {
                self.report(Rule::Exit, format!("node {node} exited with {status}"));
            }
            Status::Exited(_) | Status::Replaced => {}
            Status::Running => {
                let to = self.workload.now();
                if !self.was_paused(node, from) {
                    let details =
                        format!("node {node} was sent SIGTERM at {from:?} and was still running at {to:?}");
                    self.report(Rule::Exit, details);
                }
                process.kill();
                self.record_until_now(target, Cause::Killed, to);
            }
        }
        Ok(())
    }

    async fn restart(&self, target: Target, cause: Cause, from: Millis) -> io::Result<()> {
        self.deployment.process(target).start()?;
        if let Target::Node(number) = target {
            let address = self.deployment.listen_addresses[number];
            // A node that does not listen again is detected by `wait_serving`.
            let _listens = timeout(RECOVERY_TIMEOUT, wait_for_listener(address)).await;
        }
        self.record_until_now(target, cause, from);
        Ok(())
    }

    async fn revoke_key(&self, span: Duration) {
        let _guard = self.key.lock().await;
        let is_confirmed = self.deployment.revoke_key().await;
        let from = self.workload.now();
        sleep(span).await;
        if is_confirmed {
            let to = self.workload.now();
            self.journal().revocations.push(Revocation { from, to });
        }
        self.deployment.restore_key().await;
    }
}
