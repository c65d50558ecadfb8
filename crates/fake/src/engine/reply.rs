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
    pub from: u32,
    pub until: u32,
}

impl Reply {
    pub fn new(echo: Echo, completion: &Completion) -> Self {
        Self {
            echo,
            prompt: completion.prompt.clone(),
            from: completion.resume_from,
            until: completion.max_tokens,
        }
    }

    /// The answer without a stream.
    pub fn whole(&self) -> Text {
        Text {
            text: text(&self.prompt, self.from, self.until),
            tokens: self.until,
        }
    }
}
