//! Digests of bearer tokens. The catalogue never contains the tokens themselves.

/// Returns the BLAKE3 digest of `token` in hexadecimal, as stored in the catalogue.
pub fn digest(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}
