//! Validation of single values.

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Length of a digest in hexadecimal characters.
const DIGEST_CHARS: usize = 64;

/// HTTP methods allowed in routes.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Whether a text is a valid name, which needs no escaping in URLs and metrics.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Whether a text has the format of a digest printed by `bilberrylatch catalogue token`.
pub fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_CHARS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

/// Whether a text is an allowed HTTP method, in upper case.
pub fn is_method(text: &str) -> bool {
    METHODS.contains(&text)
}
