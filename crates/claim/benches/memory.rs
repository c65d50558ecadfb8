//! Memory a key, from the growth of the process; prints one line of CSV a case.

#[path = "claim/fixture.rs"]
mod fixture;

use std::fs;

use fixture::{Issuer, Node};

/// Keys held.
const HELD: usize = 100_000;
/// Bytes of a page, as the kernel counts them for a process.
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
    // Neither gives its memory to the other.
    drop((issuer, node));
}

fn print(what: &str, before: usize) {
    let growth = resident().saturating_sub(before);
    println!("{what},{HELD},{}", growth / HELD);
}

/// Memory of this process, in bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_usize) * PAGE_BYTES
}
