//! The service's format of listings and watch responses: one line of JSON, followed by the concatenated values.

use base::Revision;
use bytes::Bytes;
use serde::Deserialize;

use super::NO_ERA;
use crate::listing::Entry;
use crate::{Change, Changes, Error, Listing};

#[derive(Debug, Deserialize)]
struct Head {
    revision: u64,
    items: Vec<Item>,
}

#[derive(Debug, Deserialize)]
struct Item {
    key: String,
    revision: u64,
    length: usize,
    #[serde(default)]
    deleted: bool,
}

/// A decoded listing or watch response.
#[derive(Debug)]
pub struct Page {
    head: Head,
    values: Vec<Bytes>,
}

impl Page {
    /// Decodes a response body. A truncated body is an error.
    pub fn decode(body: &Bytes) -> Result<Self, Error> {
        let malformed = |cause: &str| Error::Protocol(format!("malformed page: {cause}"));
        let newline = body
            .iter()
            .position(|byte| *byte == b'\n')
            .ok_or_else(|| malformed("the JSON line is not terminated"))?;
        let head: Head =
            serde_json::from_slice(&body[..newline]).map_err(|error| malformed(&error.to_string()))?;
        let mut remaining = body.slice(newline + 1..);
        let mut values = Vec::with_capacity(head.items.len());
        for item in &head.items {
            if remaining.len() < item.length {
                return Err(malformed("the values are truncated"));
            }
            values.push(remaining.split_to(item.length));
        }
        Ok(Self { head, values })
    }

    /// Converts the page to a listing.
    pub fn into_listing(self) -> Listing {
        let items = self.head.items.into_iter().zip(self.values);
        let entries = items
            .map(|(item, value)| Entry {
                key: item.key,
                revision: Revision::new(NO_ERA, item.revision),
                value,
            })
            .collect();
        Listing {
            entries,
            revision: Revision::new(NO_ERA, self.head.revision),
        }
    }

    /// Converts the page to changes, which have no values because this service does not send them.
    pub fn into_changes(self) -> Changes {
        let change = |item: Item| Change {
            key: item.key,
            revision: Revision::new(NO_ERA, item.revision),
            deleted: item.deleted,
            value: None,
        };
        Changes {
            list: self.head.items.into_iter().map(change).collect(),
            revision: Revision::new(NO_ERA, self.head.revision),
        }
    }
}
