//! Signing and verification of issued keys.

use std::fmt;

use base::Incarnation;

use super::Key;
use super::tag::{BINDING_LEN, ORIGIN_LEN, Tag};
use crate::Binding;

/// Key derivation context; separates this use of the deployment's secret from others.
const CONTEXT: &str = "bilberrylatch 2026-12-03 issued idempotency keys";
/// Domain separators of the two hashes.
const ORIGIN_DOMAIN: u8 = 1;
const BINDING_DOMAIN: u8 = 2;

/// Key that signs issued keys, derived from the deployment's secret and the same on every node.
#[derive(Clone)]
pub struct Secret([u8; blake3::KEY_LEN]);

/// Result of verifying the tag of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Validity {
    /// Issued by this deployment for the endpoint and workspace of the request.
    Valid,
    /// Issued by this deployment for another endpoint or workspace.
    OtherBinding,
    /// Not issued under this secret.
    Forged,
}

impl Secret {
    /// Derives the signing key from the deployment's secret, which should contain at least 32 random bytes.
    pub fn new(material: &[u8]) -> Self {
        Self(blake3::derive_key(CONTEXT, material))
    }

    /// Signs the key `number` of `home` for one endpoint and workspace.
    pub fn sign(&self, home: Incarnation, number: u64, binding: &Binding) -> Key {
        Key {
            home,
            number,
            tag: self.tag(home, number, binding),
        }
    }

    /// Verifies `key` for a request with the given binding.
    pub fn verify(&self, key: &Key, binding: &Binding) -> Validity {
        let expected = self.tag(key.home, key.number, binding);
        if !constant_time_eq(&expected.origin, &key.tag.origin) {
            return Validity::Forged;
        }
        if !constant_time_eq(&expected.binding, &key.tag.binding) {
            return Validity::OtherBinding;
        }
        Validity::Valid
    }

    fn tag(&self, home: Incarnation, number: u64, binding: &Binding) -> Tag {
        let mut tag = Tag {
            origin: [0; ORIGIN_LEN],
            binding: [0; BINDING_LEN],
        };
        self.hasher(ORIGIN_DOMAIN, home, number)
            .finalize_xof()
            .fill(&mut tag.origin);
        let mut binding_hasher = self.hasher(BINDING_DOMAIN, home, number);
        for name in [&binding.endpoint, &binding.workspace] {
            // The length prefix keeps endpoint and workspace from running together.
            binding_hasher.update(&(name.as_str().len() as u64).to_le_bytes());
            binding_hasher.update(name.as_str().as_bytes());
        }
        binding_hasher.finalize_xof().fill(&mut tag.binding);
        tag
    }

    fn hasher(&self, domain: u8, home: Incarnation, number: u64) -> blake3::Hasher {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[domain]);
        hasher.update(&home.0.to_le_bytes());
        hasher.update(&number.to_le_bytes());
        hasher
    }
}

/// Compares in constant time, so that timing leaks nothing about the expected tag.
fn constant_time_eq(expected: &[u8], found: &[u8]) -> bool {
    let difference = expected.iter().zip(found).fold(0, |seen, (a, b)| seen | (a ^ b));
    difference == 0
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
