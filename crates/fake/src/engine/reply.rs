//! What an answer consists of, before faults change it.

use super::Completion;
use super::completion::Text;
use super::token::text;
use crate::replica::Echo;

/// The tokens and the echoed headers of an answer.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub echo: Echo,
    pub prompt: String,
    pub start: u32,
    pub end: u32,
}

impl Reply {
    pub fn new(echo: Echo, completion: &Completion) -> Self {
        Self {
            echo,
            prompt: completion.prompt.clone(),
            start: completion.resume_from,
            end: completion.max_tokens,
        }
    }

    /// The answer without a stream.
    pub fn to_text(&self) -> Text {
        Text {
            text: text(&self.prompt, self.start, self.end),
            tokens: self.end,
        }
    }
}
