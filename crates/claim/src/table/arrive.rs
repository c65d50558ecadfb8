//! What an arriving request is told.

use base::Incarnation;

use super::entry::{Entry, Run, State};
use super::{Action, Home, Seal, Table};
use crate::key::Verdict;
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
            Verdict::Valid => {}
            Verdict::OtherBinding => return self.refuse(call, Reason::OtherBinding),
            Verdict::Forged => return self.refuse(call, Reason::Forged),
        }
        if key.home == self.home {
            self.arrive_home(call, key, fingerprint);
        } else {
            self.arrive_away(call, key, fingerprint, home);
        }
    }

    fn arrive_home(&mut self, call: Call, key: Key, fingerprint: Fingerprint) {
        let Some(entry) = self.entries.get_mut(&key.number) else {
            return self.arrive_fresh(call, key, fingerprint);
        };
        if entry.fingerprint != fingerprint {
            return self.refuse(call, Reason::Mismatch);
        }
        match &mut entry.state {
            State::Ended(fate) => {
                let answer = fate.answer();
                self.answer(call, answer);
            }
            State::Running(run) if run.waiters.len() >= self.limits.waiters => {
                self.refuse(call, Reason::Crowded);
            }
            State::Running(run) => {
                run.waiters.push(call);
                self.actions.push(Action::Join { call });
            }
        }
    }

    fn arrive_fresh(&mut self, call: Call, key: Key, fingerprint: Fingerprint) {
        if key.number >= self.window.next() {
            return self.refuse(call, Reason::Forged);
        }
        if key.number < self.window.low() {
            return self.refuse(call, Reason::Expired);
        }
        if self.seal > Seal::Open {
            return self.refuse(call, Reason::Sealed);
        }
        if !self.make_room(key.number) {
            return self.refuse(call, Reason::Full);
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

    fn arrive_away(&mut self, call: Call, key: Key, fingerprint: Fingerprint, home: Home) {
        if let Some(import) = self.imports.get(&key.home) {
            let answer = import.answer(key.number, fingerprint);
            return self.answer(call, answer);
        }
        match home {
            Home::Alive => self.forward(call, key.home),
            Home::Heir(heir) if heir != self.home => self.forward(call, heir),
            Home::Heir(_) | Home::Gone => self.refuse(call, Reason::HomeGone),
            Home::Unreachable => self.refuse(call, Reason::HomeUnreachable),
        }
    }

    fn forward(&mut self, call: Call, to: Incarnation) {
        self.actions.push(Action::Forward { call, to });
    }
}
