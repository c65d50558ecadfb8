//! `replicas`: lists the replicas that the queried node knows.

use serde::{Deserialize, Serialize};

use crate::output::Output;
use crate::{Client, Error};

/// A replica as listed by the admin API.
#[derive(Debug, Deserialize, Serialize)]
struct Replica {
    vm: String,
    endpoint: String,
    zone: String,
    version: String,
    address: String,
    state: String,
    in_flight: u32,
    limit: f32,
}

/// Prints the list of replicas.
pub async fn run(client: &Client, output: Output) -> Result<(), Error> {
    let replicas: Vec<Replica> = client.get("/v1/admin/replicas").await?;
    let row = |replica: &Replica| {
        vec![
            replica.vm.clone(),
            replica.endpoint.clone(),
            replica.zone.clone(),
            replica.version.clone(),
            replica.state.clone(),
            format!("{}/{:.0}", replica.in_flight, replica.limit),
            replica.address.clone(),
        ]
    };
    let rows = replicas.iter().map(row).collect();
    output.print_table(
        &[
            "VM",
            "ENDPOINT",
            "ZONE",
            "VERSION",
            "STATE",
            "IN FLIGHT",
            "ADDRESS",
        ],
        rows,
        &replicas,
    );
    Ok(())
}
