//! The head record, which identifies the catalogue text in force.

use serde::{Deserialize, Serialize};

/// Key of the head record in the key-value service.
pub const HEAD_KEY: &str = "catalogue/head";

/// Maximum size of a stored chunk of text, in bytes. Must stay below the service's limit of 1 MiB per value.
pub const CHUNK_BYTES: usize = 768 * 1024;

/// Number of edits kept in the head. With them, the outcome of an edit whose response was lost can still be determined
/// after later edits.
const MAX_EDITS: usize = 32;

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Id that the operator's tool generated for the edit.
    pub id: String,
    /// Generation that the edit created.
    pub generation: u64,
    /// Author of the edit, as reported by the tool.
    pub author: String,
}

/// Generation, digest and size of the text in force. Replaced only by compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Increases by one with each accepted edit; 0 before the first.
    pub generation: u64,
    /// BLAKE3 digest of the text, in hexadecimal.
    pub digest: String,
    /// Size of the text in bytes.
    pub size: usize,
    /// The most recent accepted edits, oldest first.
    pub edits: Vec<Edit>,
}

impl Head {
    /// Returns the successor of this head after `text` is accepted as the edit `id` of `author`.
    pub fn next(&self, text: &str, id: &str, author: &str) -> Self {
        let generation = self.generation + 1;
        let mut edits = self.edits.clone();
        edits.push(Edit {
            id: id.to_owned(),
            generation,
            author: author.to_owned(),
        });
        let excess = edits.len().saturating_sub(MAX_EDITS);
        edits.drain(..excess);
        Self {
            generation,
            digest: digest(text),
            size: text.len(),
            edits,
        }
    }

    /// Returns the generation that the edit `id` created, if it is among the kept edits.
    pub fn generation_of(&self, id: &str) -> Option<u64> {
        self.edits
            .iter()
            .find(|edit| edit.id == id)
            .map(|edit| edit.generation)
    }

    /// Returns the keys of the chunks of the text, in order.
    pub fn chunk_keys(&self) -> Vec<String> {
        let count = self.size.div_ceil(CHUNK_BYTES).max(1);
        (0..count)
            .map(|index| format!("catalogue/text/{}/{index:04}", self.digest))
            .collect()
    }
}

/// Returns the BLAKE3 digest of a text, in hexadecimal.
pub fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}
