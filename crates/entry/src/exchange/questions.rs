//! Questions of other nodes that wait for their answers.

use base::{Millis, Revision};
use relay::{Answer, Call, Change, Desk, Query, Question};
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

/// The questions and where their answers go.
#[derive(Debug, Default)]
pub struct Questions {
    desk: Desk,
    waiting: SecondaryMap<Question, oneshot::Sender<Answer>>,
}

impl Questions {
    /// Takes a question. Returns the answer if it is available at once, and otherwise where it arrives.
    pub fn ask(
        &mut self,
        now: Millis,
        query: Query,
    ) -> Result<(Question, oneshot::Receiver<Answer>), Answer> {
        let question = self.desk.ask(now, query)?;
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(question, sender);
        Ok((question, receiver))
    }

    /// Forgets a question whose asker is gone.
    pub fn withdraw(&mut self, question: Question) {
        self.desk.withdraw(question);
        self.waiting.remove(question);
    }

    /// Whether another node asked recently.
    pub fn is_asked(&self, now: Millis) -> bool {
        self.desk.is_asked(now)
    }

    /// Notes that a call is being sent to the store.
    pub const fn begin_call(&mut self) -> Call {
        self.desk.begin_call()
    }

    /// Answers questions with the changes that a call returned, complete up to `revision`.
    pub fn end_call(&mut self, call: Call, changes: &[Change], revision: Revision) {
        let answers = self.desk.end_call(call, changes, revision);
        self.deliver(answers);
    }

    /// Answers questions with the difference between the known records and a listing at `revision`.
    pub fn end_listing(&mut self, call: Call, changes: &[Change], revision: Revision) {
        let answers = self.desk.end_listing(call, changes, revision);
        self.deliver(answers);
    }

    /// Answers questions with the changes that another node returned, complete up to `revision`.
    pub fn record_answer(&mut self, changes: &[Change], revision: Revision, is_difference: bool) {
        let answers = self.desk.record_answer(changes, revision, is_difference);
        self.deliver(answers);
    }

    /// Turns all askers away, since the store does not answer.
    pub fn fail_call(&mut self) {
        let answers = self.desk.fail_call();
        self.deliver(answers);
    }

    /// Continues from a listing that does not connect to the known changes.
    pub fn reset(&mut self, revision: Revision) {
        let answers = self.desk.reset(revision);
        self.deliver(answers);
    }

    fn deliver(&mut self, answers: Vec<(Question, Answer)>) {
        for (question, answer) in answers {
            if let Some(sender) = self.waiting.remove(question) {
                // An asker that is gone needs no answer.
                let _gone = sender.send(answer);
            }
        }
    }
}
