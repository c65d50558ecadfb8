//! The form of lists and watches: one line of JSON, then the values' bytes one after another.
//!
//! The line is a [`Header`]; item `i`'s value is the next `length` bytes after those of items before it.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

/// Media type of a page.
pub const MEDIA_TYPE: &str = "application/vnd.bilberrylatch.page";

/// The first line of a page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the store at the time of the answer.
    pub revision: u64,
    /// Whether more keys follow after the last one; always false for watches.
    pub more: bool,
    /// Records or events in order.
    pub items: Vec<Item>,
}

/// One record or event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key, without a leading slash.
    pub key: String,
    /// Revision of the write.
    pub revision: u64,
    /// Bytes of the value in the body.
    pub length: usize,
    /// Whether the write was a deletion.
    #[serde(default)]
    pub deleted: bool,
    /// Lease that the key is bound to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<String>,
    /// Identity of the write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_id: Option<String>,
}

/// A list or watch answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// First line.
    pub header: Header,
    /// Values, one an item.
    pub values: Vec<Bytes>,
}

impl Page {
    /// An empty page at a revision.
    pub fn new(revision: u64) -> Self {
        Self {
            header: Header {
                revision,
                ..Header::default()
            },
            values: Vec::new(),
        }
    }

    /// Adds an item; its length is set from the value.
    pub fn push(&mut self, item: Item, value: Bytes) {
        let length = value.len();
        self.header.items.push(Item { length, ..item });
        self.values.push(value);
    }

    /// The body's bytes.
    pub fn encode(&self) -> Bytes {
        let mut body = BytesMut::new();
        let line = serde_json::to_vec(&self.header).unwrap_or_default();
        body.put_slice(&line);
        body.put_u8(b'\n');
        for value in &self.values {
            body.put_slice(value);
        }
        body.freeze()
    }

    /// Reads a body; `None` if it is cut short or malformed.
    pub fn decode(body: &Bytes) -> Option<Self> {
        let end = body.iter().position(|byte| *byte == b'\n')?;
        let header = serde_json::from_slice::<Header>(&body[..end]).ok()?;
        let mut rest = body.slice(end + 1..);
        let mut values = Vec::with_capacity(header.items.len());
        for item in &header.items {
            if rest.len() < item.length {
                return None;
            }
            values.push(rest.split_to(item.length));
        }
        rest.is_empty().then_some(Self { header, values })
    }
}
