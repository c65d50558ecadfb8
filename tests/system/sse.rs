//! Streams as callers read them.

use fake::engine::token;
use reqwest::Response;
use serde_json::Value;

/// A stream read to its end.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Stream {
    /// Texts of the tokens, in the order they came.
    pub tokens: Vec<String>,
    /// Ids of the events.
    pub ids: Vec<u32>,
    /// Name of the last event, `done` or `error`; empty if there was none.
    pub final_event: String,
    /// Data of the last event.
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

    /// Checks that every token came once, in order and right, and that the end says so.
    pub fn assert_complete(&self, prompt: &str, from: u32, until: u32) {
        let expected: Vec<String> = (from..until).map(|index| token(prompt, index)).collect();
        assert_eq!(self.tokens, expected, "{self:?}");
        assert_eq!(self.ids, (from..until).collect::<Vec<u32>>());
        assert_eq!(self.final_event, "done");
    }
}
