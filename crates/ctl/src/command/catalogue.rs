//! `catalogue`: check, apply, show and follow the catalogue.

pub mod apply;

use std::path::Path;

use catalogue::Catalogue;
use serde::{Deserialize, Serialize};

use crate::app::client;
use crate::args;
use crate::output::Output;
use crate::{Client, Error};

/// How far the newest generation has got.
#[derive(Debug, Deserialize, Serialize)]
pub struct Status {
    /// The newest generation known.
    pub known: u64,
    /// The one that the asked node has applied.
    pub applied: u64,
    /// The one that every node that is not gone has applied.
    pub in_force: u64,
    /// Nodes that are not gone.
    pub nodes: usize,
    /// Zones that are behind.
    pub behind: Vec<Behind>,
}

/// A zone that is behind.
#[derive(Debug, Deserialize, Serialize)]
pub struct Behind {
    /// The region.
    pub region: String,
    /// The zone.
    pub zone: String,
    /// What all its nodes have applied.
    pub generation: u64,
    /// Its nodes.
    pub nodes: u32,
    /// Nodes that can't be reached.
    pub unreachable: Vec<String>,
}

/// The catalogue in force.
#[derive(Debug, Deserialize, Serialize)]
pub struct Shown {
    /// Its generation.
    pub generation: u64,
    /// Its text.
    pub text: String,
}

/// A file that was read and checked.
#[derive(Debug)]
pub struct Sheet {
    /// Its text.
    pub text: String,
    /// The catalogue.
    pub catalogue: Catalogue,
}

/// A token's digest.
#[derive(Debug, Serialize)]
struct Digest {
    token_digest: String,
}

/// Runs one of the catalogue's commands.
pub async fn run(node: &Option<String>, output: Output, command: args::Catalogue) -> Result<(), Error> {
    let connect = || client(node.as_deref());
    match command.subcommand {
        args::CatalogueCmd::Check(check) => self::check(output, &check.file),
        args::CatalogueCmd::Diff(diff) => self::diff(&connect()?, output, &diff.file).await,
        args::CatalogueCmd::Apply(flags) => apply::run(&connect()?, output, flags).await,
        args::CatalogueCmd::Show(_) => show(&connect()?, output).await,
        args::CatalogueCmd::Status(_) => status(&connect()?, output).await,
        args::CatalogueCmd::Token(token) => {
            let token_digest = catalogue::token::digest(&token.token);
            output.line(
                &token_digest,
                &Digest {
                    token_digest: token_digest.clone(),
                },
            );
            Ok(())
        }
    }
}

/// Reads a file, prints its warnings and fails with its errors.
pub fn read(path: &Path) -> Result<Sheet, Error> {
    let text = std::fs::read_to_string(path).map_err(|cause| Error::File {
        path: path.to_owned(),
        cause,
    })?;
    let checked = catalogue::read::check(&text);
    let Some(catalogue) = checked.catalogue else {
        return Err(Error::Catalogue {
            path: path.to_owned(),
            findings: checked.findings,
        });
    };
    for finding in checked.findings.as_slice() {
        eprintln!("{}:{finding}", path.display());
    }
    Ok(Sheet { text, catalogue })
}

fn check(output: Output, path: &Path) -> Result<(), Error> {
    read(path)?;
    output.line("the catalogue is in order", &"ok");
    Ok(())
}

async fn diff(client: &Client, output: Output, path: &Path) -> Result<(), Error> {
    let sheet = read(path)?;
    let shown: Shown = client.get("/v1/admin/catalogue").await?;
    let before = Catalogue::parse(&shown.text).unwrap_or_else(|_none| empty(&sheet.catalogue));
    let changes = catalogue::diff::changes(&before, &sheet.catalogue);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let sentence = match (lines.is_empty(), sheet.text == shown.text) {
        (true, true) => format!("the same as generation {}", shown.generation),
        (true, false) => format!(
            "only comments or layout differ from generation {}",
            shown.generation
        ),
        (false, _) => lines.join("\n"),
    };
    output.line(&sentence, &changes);
    Ok(())
}

/// What a deployment has before its first catalogue.
fn empty(after: &Catalogue) -> Catalogue {
    Catalogue {
        zones: Vec::new(),
        workspaces: Vec::new(),
        classes: Vec::new(),
        endpoints: Vec::new(),
        ..after.clone()
    }
}

async fn show(client: &Client, output: Output) -> Result<(), Error> {
    let shown: Shown = client.get("/v1/admin/catalogue").await?;
    output.line(&shown.text, &shown);
    Ok(())
}

async fn status(client: &Client, output: Output) -> Result<(), Error> {
    let status: Status = client.get("/v1/admin/catalogue/status").await?;
    let sentence = format!(
        "generation {} known, {} in force on all {} nodes, {} applied by the asked node",
        status.known, status.in_force, status.nodes, status.applied
    );
    output.line(&sentence, &status);
    if output == Output::Human {
        for zone in &status.behind {
            println!(
                "behind: {}/{} at generation {}",
                zone.region, zone.zone, zone.generation
            );
        }
    }
    Ok(())
}
