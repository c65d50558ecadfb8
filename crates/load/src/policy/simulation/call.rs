//! Calls of a simulation.

use fake::engine::model::Prompt;

use crate::policy::node::Dispatch;
use crate::workload::operation::Question;
use crate::workload::{Arrival, Operation};

/// A call and its progress.
#[derive(Debug)]
pub struct Call {
    pub due_us: u64,
    pub stream: usize,
    pub question: Question,
    /// Built when the call arrives.
    pub prompt: Prompt,
    pub first_token_us: Option<u64>,
    pub delivered: u32,
    /// Tokens delivered by the current dispatch.
    pub dispatch_tokens: u32,
    pub imported_tokens: u32,
    pub dispatch: Option<Dispatch>,
    pub dispatches: u32,
    pub state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Open,
    Answered,
    Refused,
}

impl Call {
    pub fn new(arrival: &Arrival) -> Option<Self> {
        let Operation::Question(question) = arrival.operation else {
            return None;
        };
        Some(Self {
            due_us: arrival.due_us,
            stream: arrival.stream,
            question,
            prompt: Prompt::default(),
            first_token_us: None,
            delivered: 0,
            dispatch_tokens: 0,
            imported_tokens: 0,
            dispatch: None,
            dispatches: 0,
            state: State::Open,
        })
    }

    /// Time from the due time to the first token, if there was one.
    pub fn latency_us(&self) -> Option<u64> {
        self.first_token_us.map(|first| first - self.due_us)
    }
}
