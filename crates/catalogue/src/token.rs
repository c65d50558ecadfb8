//! Digests of bearer tokens: the catalogue never holds a token itself.

/// The digest of `token` as the catalogue holds it: BLAKE3 in hexadecimal.
pub fn digest(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}
