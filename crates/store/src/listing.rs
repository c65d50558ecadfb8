//! Listings of the records under a prefix.

use base::Revision;
use bytes::Bytes;

use crate::Error;

/// A listed record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Revision of the record.
    pub revision: Revision,
    /// The value.
    pub value: Bytes,
}

/// Records under a prefix, and the revision of the service when they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The records, in key order.
    pub entries: Vec<Entry>,
    /// Revision of the service, from which a watch continues.
    pub revision: Revision,
}

impl Listing {
    /// Appends the next page. Keeps the revision, so that a watch from it reports the changes made while paging. Pages of
    /// different eras are no listing.
    pub fn join(mut self, page: Self) -> Result<Self, Error> {
        if page.revision.era != self.revision.era {
            return Err(Error::Unavailable(
                "restored while the records were listed".to_owned(),
            ));
        }
        self.entries.extend(page.entries);
        Ok(self)
    }
}
