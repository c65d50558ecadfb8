//! The postcard encoding of all messages between nodes.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Encodes a value.
pub fn encode<T>(value: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    postcard::to_stdvec(value).map_err(|error| Error::Malformed(error.to_string()))
}

/// Decodes a value. Trailing bytes are an error.
pub fn decode<T>(bytes: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let (value, rest) =
        postcard::take_from_bytes(bytes).map_err(|error| Error::Malformed(error.to_string()))?;
    if !rest.is_empty() {
        return Err(Error::Malformed(format!("{} bytes follow the value", rest.len())));
    }
    Ok(value)
}
