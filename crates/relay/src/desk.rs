//! Questions of other nodes, and the calls to the store that answer them.

use base::{Millis, Revision};
use slotmap::{SlotMap, new_key_type};

use crate::{Answer, Change, History, Query};

/// Time after the last question during which the node reads the store itself.
const READER_TTL: Millis = Millis(3_000);

new_key_type! {
    /// A question that waits for its answer.
    pub struct Question;
}

/// A call to the store, numbered in the order in which calls are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call(u64);

#[derive(Clone, Copy, Debug)]
struct Pending {
    query: Query,
    /// The last call that was sent before the question arrived, and so does not confirm its answer.
    sent_before: Call,
}

/// Holds questions until a call to the store answers them.
#[derive(Debug)]
pub struct Desk {
    history: History,
    last_call: Call,
    pending: SlotMap<Question, Pending>,
    asked_at: Option<Millis>,
}

/// Questions with their answers.
pub type Answers = Vec<(Question, Answer)>;

impl Desk {
    /// Creates a desk without history.
    pub fn new() -> Self {
        Self {
            history: History::default(),
            last_call: Call(0),
            pending: SlotMap::with_key(),
            asked_at: None,
        }
    }

    /// Whether another node asked recently, so that this node must read the store itself.
    pub fn is_asked(&self, now: Millis) -> bool {
        self.asked_at.is_some_and(|at| now.since(at) < READER_TTL)
    }

    /// Takes a question. Returns the answer if it is available at once.
    pub fn ask(&mut self, now: Millis, query: Query) -> Result<Question, Answer> {
        self.asked_at = Some(now);
        match self.changes_for(query) {
            None => Err(Answer::HistoryGone {
                revision: self.history.end(),
            }),
            Some(changes) if changes.is_empty() => Ok(self.pending.insert(Pending {
                query,
                sent_before: self.last_call,
            })),
            Some(changes) => Err(Answer::Changes {
                changes,
                revision: self.history.end(),
                is_difference: self.history.is_difference(query.after),
                is_confirmed: false,
            }),
        }
    }

    /// Forgets a question whose asker is gone.
    pub fn withdraw(&mut self, question: Question) {
        self.pending.remove(question);
    }

    /// Notes that a call is being sent to the store.
    pub const fn begin_call(&mut self) -> Call {
        self.last_call = Call(self.last_call.0 + 1);
        self.last_call
    }

    /// Takes the changes that a call returned, complete up to `revision`.
    pub fn end_call(&mut self, call: Call, changes: &[Change], revision: Revision) -> Answers {
        self.history.append(changes, revision);
        self.answer(Some(call))
    }

    /// Takes the difference of the records between the known changes and a listing at `revision`.
    pub fn end_listing(&mut self, call: Call, changes: &[Change], revision: Revision) -> Answers {
        self.history.append_difference(changes, revision);
        self.answer(Some(call))
    }

    /// Takes the changes that another node's answer returned, complete up to `revision`.
    pub fn record_answer(&mut self, changes: &[Change], revision: Revision, is_difference: bool) -> Answers {
        if is_difference {
            self.history.append_difference(changes, revision);
        } else {
            self.history.append(changes, revision);
        }
        self.answer(None)
    }

    /// Turns all askers away, since the store does not answer.
    pub fn fail_call(&mut self) -> Answers {
        let all = self.pending.drain();
        all.map(|(question, _)| (question, Answer::Unavailable)).collect()
    }

    /// Continues from a listing that does not connect to the history.
    pub fn reset(&mut self, revision: Revision) -> Answers {
        self.history.reset(revision);
        self.answer(None)
    }

    fn answer(&mut self, call: Option<Call>) -> Answers {
        let mut answers = Answers::new();
        for (question, pending) in &self.pending {
            let is_confirmed = call.is_some_and(|call| call > pending.sent_before);
            let Some(changes) = self.changes_for(pending.query) else {
                let revision = self.history.end();
                answers.push((question, Answer::HistoryGone { revision }));
                continue;
            };
            // NB: the asker may know more than this node, whose call then confirms nothing of it.
            let is_confirmed = is_confirmed && self.history.end() >= pending.query.after;
            if is_confirmed || !changes.is_empty() {
                answers.push((
                    question,
                    Answer::Changes {
                        changes,
                        revision: self.history.end(),
                        is_difference: self.history.is_difference(pending.query.after),
                        is_confirmed,
                    },
                ));
            }
        }
        for (question, _answer) in &answers {
            self.pending.remove(*question);
        }
        answers
    }

    /// The changes that the asker lacks; `None` if the history does not reach back to its revision.
    fn changes_for(&self, query: Query) -> Option<Vec<Change>> {
        let changes = self.history.after(query.after).ok()?;
        Some(changes.cloned().collect())
    }
}

impl Default for Desk {
    fn default() -> Self {
        Self::new()
    }
}
