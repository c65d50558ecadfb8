//! `nodes`: lists the nodes that the queried node knows.

use serde::{Deserialize, Serialize};

use crate::output::Output;
use crate::{Client, Error};

/// A node as listed by the admin API.
#[derive(Debug, Deserialize, Serialize)]
struct Node {
    name: String,
    incarnation: u64,
    zone: String,
    region: String,
    caller: String,
    peer: String,
    state: String,
}

/// Prints the list of nodes.
pub async fn run(client: &Client, output: Output) -> Result<(), Error> {
    let nodes: Vec<Node> = client.get("/v1/admin/nodes").await?;
    let row = |node: &Node| {
        vec![
            node.name.clone(),
            node.state.clone(),
            node.zone.clone(),
            node.caller.clone(),
            node.peer.clone(),
            format!("{:016x}", node.incarnation),
        ]
    };
    let rows = nodes.iter().map(row).collect();
    output.print_table(
        &["NAME", "STATE", "ZONE", "CALLERS", "PEERS", "INCARNATION"],
        rows,
        &nodes,
    );
    Ok(())
}
