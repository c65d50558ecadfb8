//! Rules on single values.

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Characters of a digest in hexadecimal.
const DIGEST_CHARS: usize = 64;

/// HTTP methods that routes may have.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Whether a text is a name that stands in URLs and metrics without quoting.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Whether a text is a digest as `bilberrylatch catalogue token` prints it.
pub fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_CHARS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

/// Whether a text is an HTTP method in capitals.
pub fn is_method(text: &str) -> bool {
    METHODS.contains(&text)
}
