//! Handling of arriving requests.

use base::Incarnation;

use super::entry::{Entry, Run, State};
use super::{Action, Home, Phase, Table};
use crate::key::Validity;
use crate::{Binding, Call, Fingerprint, Key, Reason};

impl Table {
    pub(super) fn arrive(
        &mut self,
        call: Call,
        key: Key,
        binding: &Binding,
        fingerprint: Fingerprint,
        home: Home,
    ) {
        match self.secret.verify(&key, binding) {
            Validity::Valid => {}
            Validity::OtherBinding => return self.refuse(call, Reason::OtherBinding),
            Validity::Forged => return self.refuse(call, Reason::Forged),
        }
        if key.home == self.home {
            self.arrive_local(call, key, fingerprint);
        } else {
            self.arrive_remote(call, key, fingerprint, home);
        }
    }

    fn arrive_local(&mut self, call: Call, key: Key, fingerprint: Fingerprint) {
        let Some(entry) = self.entries.get_mut(&key.number) else {
            return self.arrive_new(call, key, fingerprint);
        };
        if entry.fingerprint != fingerprint {
            return self.refuse(call, Reason::Mismatch);
        }
        match &mut entry.state {
            State::Ended(completion) => {
                let answer = completion.answer();
                self.answer(call, answer);
            }
            State::Running(run) if run.waiters.len() >= self.limits.waiters => {
                self.refuse(call, Reason::TooManyWaiters);
            }
            State::Running(run) => {
                run.waiters.push(call);
                self.actions.push(Action::Join { call });
            }
        }
    }

    fn arrive_new(&mut self, call: Call, key: Key, fingerprint: Fingerprint) {
        if key.number >= self.window.next() {
            return self.refuse(call, Reason::Forged);
        }
        if key.number < self.window.low() {
            return self.refuse(call, Reason::Expired);
        }
        if self.phase > Phase::Open {
            return self.refuse(call, Reason::NodeStopping);
        }
        if !self.make_room(key.number) {
            return self.refuse(call, Reason::TooManyKeys);
        }
        let run = Run {
            call,
            dispatched: false,
            waiters: vec![call],
        };
        let entry = Entry {
            fingerprint,
            state: State::Running(run),
        };
        self.entries.insert(key.number, entry);
        self.actions.push(Action::Run { call, key });
    }

    fn arrive_remote(&mut self, call: Call, key: Key, fingerprint: Fingerprint, home: Home) {
        if let Some(import) = self.imports.get(&key.home) {
            let answer = import.answer(key.number, fingerprint);
            return self.answer(call, answer);
        }
        match home {
            Home::Alive => self.forward(call, key.home),
            Home::Successor(successor) if successor != self.home => self.forward(call, successor),
            Home::Successor(_) | Home::Gone => self.refuse(call, Reason::HomeGone),
            Home::Unreachable => self.refuse(call, Reason::HomeUnreachable),
        }
    }

    fn forward(&mut self, call: Call, to: Incarnation) {
        self.actions.push(Action::Forward { call, to });
    }
}
