//! The head record: which text is in force.

use serde::{Deserialize, Serialize};

/// Key of the head record at the key-value service.
pub const HEAD_KEY: &str = "catalogue/head";

/// Bytes of text in one stored chunk; below the service's limit of 1 MiB a value.
pub const CHUNK_BYTES: usize = 768 * 1024;

/// Edits remembered in the head, so that a lost answer can be settled after later edits.
const MAX_EDITS: usize = 32;

/// An edit that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Id that the operator's tool drew for the edit.
    pub id: String,
    /// Generation that the edit became.
    pub generation: u64,
    /// Who made it, as told by the tool.
    pub author: String,
}

/// Generation, digest and size of the text in force. Replaced by compare-and-swap only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with each accepted edit; 0 before the first.
    pub generation: u64,
    /// Digest of the text: BLAKE3 in hexadecimal.
    pub digest: String,
    /// Size of the text in bytes.
    pub size: usize,
    /// The last accepted edits, oldest first.
    pub edits: Vec<Edit>,
}

impl Head {
    /// The head that follows this one when `text` is accepted as the edit `id` of `author`.
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

    /// The generation that the edit `id` became, if it was accepted.
    pub fn generation_of(&self, id: &str) -> Option<u64> {
        self.edits
            .iter()
            .find(|edit| edit.id == id)
            .map(|edit| edit.generation)
    }

    /// Keys of the text's chunks, in order.
    pub fn chunk_keys(&self) -> Vec<String> {
        let count = self.size.div_ceil(CHUNK_BYTES).max(1);
        (0..count)
            .map(|index| format!("catalogue/text/{}/{index:04}", self.digest))
            .collect()
    }
}

/// The digest of a text.
pub fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}
