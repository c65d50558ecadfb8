//! A whole answer.

use base::Name;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// Status, fields and body of an answer that arrived in full.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Fields that go on to the caller.
    pub fields: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The version that answered, if it is known.
    pub version: Option<Name>,
}

impl Answer {
    /// Whether the endpoint says that it failed.
    pub fn is_server_error(&self) -> bool {
        self.status.is_server_error()
    }

    /// The answer as it is kept under an idempotency key.
    pub fn to_record(&self) -> claim::Record {
        let header = |(name, value): (&HeaderName, &HeaderValue)| claim::record::Header {
            name: Bytes::copy_from_slice(name.as_str().as_bytes()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        };
        claim::Record {
            status: self.status.as_u16(),
            headers: self.fields.iter().map(header).collect(),
            body: self.body.clone(),
        }
    }

    /// The answer that was kept.
    pub fn from_record(record: &claim::Record) -> Self {
        let field = |header: &claim::record::Header| {
            let name = HeaderName::from_bytes(&header.name).ok()?;
            let value = HeaderValue::from_bytes(&header.value).ok()?;
            Some((name, value))
        };
        Self {
            status: StatusCode::from_u16(record.status).unwrap_or(StatusCode::OK),
            fields: record.headers.iter().filter_map(field).collect(),
            body: record.body.clone(),
            version: None,
        }
    }
}
