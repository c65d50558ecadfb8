//! `keys show`: counts the idempotency keys that the queried node holds.

use serde::{Deserialize, Serialize};

use crate::output::Output;
use crate::{Client, Error};

/// Counts of the keys at one node.
#[derive(Debug, Deserialize, Serialize)]
struct Counts {
    node: String,
    issued_running: usize,
    issued_ended: usize,
    taken_over: usize,
    answer_bytes: usize,
    chosen_held: usize,
    chosen_open: usize,
    chosen_unwritten: usize,
}

/// Prints the counts.
pub async fn run(client: &Client, output: Output) -> Result<(), Error> {
    let counts: Counts = client.get("/v1/admin/keys").await?;
    let row = |label: &str, count: usize| vec![label.to_owned(), count.to_string()];
    let rows = vec![
        row("issued by this node, running", counts.issued_running),
        row("issued by this node, ended", counts.issued_ended),
        row("taken over from stopped nodes", counts.taken_over),
        row("bytes of stored answers", counts.answer_bytes),
        row("chosen by callers, known claims of all nodes", counts.chosen_held),
        row("chosen by callers, waiting or running here", counts.chosen_open),
        row(
            "chosen by callers, results not yet written",
            counts.chosen_unwritten,
        ),
    ];
    output.print_table(&["KEYS", &counts.node], rows, &counts);
    Ok(())
}
