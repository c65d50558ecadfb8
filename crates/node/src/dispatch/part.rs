//! Parts of a streamed answer.

use base::Name;
use route::Refusal;

/// A token of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Index of the token in the answer, starting from 0.
    pub index: u32,
    /// Data of the replica's event, unchanged.
    pub data: String,
}

/// Part of a streamed answer, as sent to the caller's connection.
#[derive(Clone, Debug)]
pub enum Part {
    /// A replica has started to answer.
    Began {
        /// Version of the replica.
        version: Name,
    },
    /// The next token.
    Token(Token),
    /// The answer is complete. Holds the data of the terminal event.
    Done(String),
    /// The answer could not be completed.
    Refused(Refusal),
}
