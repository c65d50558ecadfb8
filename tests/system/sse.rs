//! Reads server-sent events as a caller would.

use fake::engine::token;
use reqwest::Response;
use serde_json::Value;

/// The events of a complete response stream.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Stream {
    /// Texts of the tokens in order of arrival.
    pub tokens: Vec<String>,
    /// IDs of the token events.
    pub ids: Vec<u32>,
    /// Name of the terminal event, `done` or `error`; empty if there was none.
    pub final_event: String,
    /// Data of the terminal event.
    pub final_data: String,
}

impl Stream {
    /// Reads a response to its end.
    pub async fn read(response: Response) -> Self {
        let text = response.text().await.unwrap_or_default();
        let mut stream = Self::default();
        for event in text.split("\n\n") {
            stream.push_event(event);
        }
        stream
    }

    fn push_event(&mut self, event: &str) {
        let field = |name: &str| {
            event
                .lines()
                .find_map(|line| line.strip_prefix(name))
                .map(str::trim)
        };
        let Some(data) = field("data:") else { return };
        if let Some(name) = field("event:") {
            name.clone_into(&mut self.final_event);
            data.clone_into(&mut self.final_data);
            return;
        }
        let body: Value = serde_json::from_str(data).unwrap_or_default();
        self.tokens
            .push(body["token"].as_str().unwrap_or_default().to_owned());
        self.ids
            .push(field("id:").and_then(|id| id.parse().ok()).unwrap_or(u32::MAX));
    }

    /// Asserts that each token in `from..until` arrived exactly once, in order, and that the stream ended with `done`.
    pub fn assert_complete(&self, prompt: &str, from: u32, until: u32) {
        let expected: Vec<String> = (from..until).map(|index| token(prompt, index)).collect();
        assert_eq!(self.tokens, expected, "{self:?}");
        assert_eq!(self.ids, (from..until).collect::<Vec<u32>>());
        assert_eq!(self.final_event, "done");
    }
}
