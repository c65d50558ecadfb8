//! `keys show`: the idempotency keys that the asked node holds.

use serde::{Deserialize, Serialize};

use crate::output::Output;
use crate::{Client, Error};

/// Keys at one node.
#[derive(Debug, Deserialize, Serialize)]
struct Tally {
    node: String,
    issued_running: usize,
    issued_ended: usize,
    taken_over: usize,
    answer_bytes: usize,
    chosen_held: usize,
    chosen_open: usize,
    chosen_unwritten: usize,
}

/// Shows the counts.
pub async fn run(client: &Client, output: Output) -> Result<(), Error> {
    let tally: Tally = client.get("/v1/admin/keys").await?;
    let row = |label: &str, count: usize| vec![label.to_owned(), count.to_string()];
    let rows = vec![
        row("issued here, running", tally.issued_running),
        row("issued here, ended", tally.issued_ended),
        row("taken over from stopped nodes", tally.taken_over),
        row("bytes of answers kept", tally.answer_bytes),
        row("chosen by callers, claims known", tally.chosen_held),
        row("chosen by callers, open here", tally.chosen_open),
        row(
            "chosen by callers, results not yet written",
            tally.chosen_unwritten,
        ),
    ];
    output.table(&["KEYS", &tally.node], rows, &tally);
    Ok(())
}
