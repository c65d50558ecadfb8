//! Memory per key, derived from the growth of the resident set. Prints one line of CSV per case.

#[path = "claim/fixture.rs"]
mod fixture;

use std::fs;

use fixture::{Issuer, Node};

/// Number of held keys.
const HELD: usize = 100_000;
/// Size of the pages in which the kernel reports process memory, in bytes.
const PAGE_BYTES: usize = 4_096;

fn main() {
    println!("what,keys,bytes_per_key");
    let before = resident();
    let mut issuer = Issuer::new(HELD);
    for _ in 0..HELD {
        issuer.cycle();
    }
    print("table", before);
    let before = resident();
    let mut node = Node::new(HELD);
    for _ in 0..HELD {
        node.cycle();
    }
    print("ledger", before);
    // Both stay alive until here, so that the second does not reuse memory of the first.
    drop((issuer, node));
}

fn print(what: &str, before: usize) {
    let growth = resident().saturating_sub(before);
    println!("{what},{HELD},{}", growth / HELD);
}

/// Resident set size of this process, in bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_usize) * PAGE_BYTES
}
