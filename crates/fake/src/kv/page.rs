//! Format of list and watch responses: one line of JSON, followed by the concatenated bytes of the values.
//!
//! The line is a [`Header`]. The value of each item takes `length` bytes and follows the values of the items before it.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

/// Media type of pages.
pub const MEDIA_TYPE: &str = "application/vnd.bilberrylatch.page";

/// First line of a page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the store at the time of the response.
    pub revision: u64,
    /// Whether there are more keys after the last one; always false for watches.
    pub more: bool,
    /// Records or events, in order.
    pub items: Vec<Item>,
}

/// Record or event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key without a leading slash.
    pub key: String,
    /// Revision of the write.
    pub revision: u64,
    /// Number of bytes of the value in the body.
    pub length: usize,
    /// Whether the write was a deletion.
    #[serde(default)]
    pub deleted: bool,
    /// Id of the lease that the key is bound to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<String>,
    /// Id of the write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_id: Option<String>,
}

/// Response to a list or watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// First line.
    pub header: Header,
    /// Values, one per item.
    pub values: Vec<Bytes>,
}

impl Page {
    /// Creates an empty page at a revision.
    pub fn new(revision: u64) -> Self {
        Self {
            header: Header {
                revision,
                ..Header::default()
            },
            values: Vec::new(),
        }
    }

    /// Adds an item and sets its length from the value.
    pub fn push(&mut self, item: Item, value: Bytes) {
        let length = value.len();
        self.header.items.push(Item { length, ..item });
        self.values.push(value);
    }

    /// Encodes the page as a response body.
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

    /// Decodes a response body. Returns `None` if it is truncated or malformed.
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
