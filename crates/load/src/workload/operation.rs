//! What one arrival asks.

use std::fmt::Write;

/// Bytes of a token of the engine stand-in.
const TOKEN_BYTES: usize = 4;
/// Bytes of filler in a line.
const LINE_BYTES: usize = 48;

/// A request before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// `POST /topup`.
    TopUp {
        /// Account to add to.
        account: u32,
    },
    /// `GET /balance/{account}`.
    Balance {
        /// Account to read.
        account: u32,
    },
    /// `POST` to a path, not idempotent.
    Post {
        /// Path below the endpoint.
        path: String,
    },
    /// A streamed completion.
    Question(Question),
}

/// A question about a shared file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// Stream, whose files are its own.
    pub stream: usize,
    /// File asked about.
    pub file: u32,
    /// Tokens of the file.
    pub file_tokens: u32,
    /// Number of the question, one of its kind in the run.
    pub number: u64,
    /// Tokens of the question.
    pub question_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

impl Question {
    /// The prompt: the file's text, the same for every question about it, then the question.
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

/// Text of a length, in lines that start with `start` and their number.
fn fill_lines(prefix: &str, length: usize) -> String {
    let mut text = String::with_capacity(length + LINE_BYTES);
    let mut number = 0;
    while text.len() < length {
        // Writing to a string can't fail.
        let _written = writeln!(text, "{prefix}{number:.<LINE_BYTES$}");
        number += 1;
    }
    text.truncate(length);
    text
}
