//! Rules that the logs hold nothing on.

use crate::Margin;

/// Their margins, which have no cases.
pub static MARGINS: [Margin; 3] = [
    Margin::new("CONFIG", "ms after which a revoked key was still accepted")
        .with_lacks("keys that a configuration takes away, and the key of a request")
        .blind(),
    Margin::new("BUDGET", "requests with a part that crashes replicas, all nodes")
        .with_lacks("parts of requests, and which failures were crashes")
        .blind(),
    Margin::new("RECOVER", "registrations missing after the store's return")
        .with_lacks("registrations that the store lost")
        .blind(),
];
