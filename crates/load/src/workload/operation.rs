//! Operations that callers perform.

use std::fmt::Write;

/// Bytes per token of the fake engine.
const TOKEN_BYTES: usize = 4;
/// Width of the line number and its padding, in bytes.
const LINE_BYTES: usize = 48;

/// An operation on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// `POST /topup`.
    TopUp {
        /// Account to credit.
        account: u32,
    },
    /// `GET /balance/{account}`.
    Balance {
        /// Account to read.
        account: u32,
    },
    /// Non-idempotent `POST` to a path.
    Post {
        /// Path below the endpoint.
        path: String,
    },
    /// A streamed completion.
    Question(Question),
}

/// A completion request about a shared file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// Index of the stream. Files are not shared between streams.
    pub stream: usize,
    /// Index of the file within the stream.
    pub file: u32,
    /// Tokens of the file.
    pub file_tokens: u32,
    /// Number of the question, unique within its stream.
    pub number: u64,
    /// Tokens of the question.
    pub question_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

impl Question {
    /// Builds the prompt: the text of the file, identical for every question about it, followed by the question.
    pub fn prompt(&self) -> String {
        let file = format!("s{} f{} ", self.stream, self.file);
        let mut prompt = fill_lines(&file, self.file_tokens as usize * TOKEN_BYTES);
        let question = format!("q{} ", self.number);
        prompt.push_str(&fill_lines(
            &question,
            self.question_tokens as usize * TOKEN_BYTES,
        ));
        prompt
    }
}

/// Generates text of exactly `length` bytes, in lines that start with `prefix` and the line number.
fn fill_lines(prefix: &str, length: usize) -> String {
    let mut text = String::with_capacity(length + LINE_BYTES);
    let mut number = 0;
    while text.len() < length {
        // Writing to a string cannot fail.
        let _written = writeln!(text, "{prefix}{number:.<LINE_BYTES$}");
        number += 1;
    }
    text.truncate(length);
    text
}
