//! Content of a response before faults are applied.

use super::Completion;
use super::completion::Text;
use super::token::text;
use crate::replica::Echo;

/// Echoed headers and token range of a response.
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

    /// Returns the response body without streaming.
    pub fn to_text(&self) -> Text {
        Text {
            text: text(&self.prompt, self.start, self.end),
            tokens: self.end,
        }
    }
}
