//! Pieces of a streamed answer.

use base::Name;
use route::Refusal;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Index of the token in the whole answer, from 0.
    pub index: u32,
    /// The event's data as the replica sent it.
    pub data: String,
}

/// What the caller's end of a stream is told.
#[derive(Clone, Debug)]
pub enum Part {
    /// A replica has begun to answer.
    Began {
        /// The version that answers.
        version: Name,
    },
    /// The next token.
    Token(Token),
    /// The answer is whole; data of the terminal event.
    Done(String),
    /// The answer could not be finished.
    Refused(Refusal),
}
