//! `catalogue`: checks, compares, applies and shows catalogues.

pub mod apply;

use std::path::Path;

use catalogue::Catalogue;
use serde::{Deserialize, Serialize};

use crate::app::create_client;
use crate::args;
use crate::output::Output;
use crate::{Client, Error};

/// Progress of applying the newest generation.
#[derive(Debug, Deserialize, Serialize)]
pub struct Status {
    /// Newest known generation.
    pub known: u64,
    /// Generation that the queried node has applied.
    pub applied: u64,
    /// Generation that all nodes have applied, except those declared gone.
    pub in_force: u64,
    /// Number of nodes that are not declared gone.
    pub nodes: usize,
    /// Zones that have not applied the newest generation.
    pub behind: Vec<LaggingZone>,
}

/// A zone with nodes that have not applied the newest generation.
#[derive(Debug, Deserialize, Serialize)]
pub struct LaggingZone {
    /// Region of the zone.
    pub region: String,
    /// Name of the zone.
    pub zone: String,
    /// Highest generation that all its nodes have applied.
    pub generation: u64,
    /// Number of its nodes.
    pub nodes: u32,
    /// Names of its nodes that are unreachable.
    pub unreachable: Vec<String>,
}

/// The catalogue that is in force.
#[derive(Debug, Deserialize, Serialize)]
pub struct Document {
    /// Generation of the catalogue.
    pub generation: u64,
    /// Text of the catalogue.
    pub text: String,
}

/// A catalogue file that was read and checked.
#[derive(Debug)]
pub struct File {
    /// Text of the file.
    pub text: String,
    /// The parsed catalogue.
    pub catalogue: Catalogue,
}

/// Digest of a token.
#[derive(Debug, Serialize)]
struct Digest {
    token_digest: String,
}

/// Runs one of the subcommands.
pub async fn run(node: &Option<String>, output: Output, command: args::Catalogue) -> Result<(), Error> {
    let client = || create_client(node.as_deref());
    match command.subcommand {
        args::CatalogueCmd::Check(check) => self::check(output, &check.file),
        args::CatalogueCmd::Diff(diff) => self::diff(&client()?, output, &diff.file).await,
        args::CatalogueCmd::Apply(flags) => apply::run(&client()?, output, flags).await,
        args::CatalogueCmd::Show(_) => show(&client()?, output).await,
        args::CatalogueCmd::Status(_) => status(&client()?, output).await,
        args::CatalogueCmd::Token(token) => {
            let token_digest = catalogue::token::digest(&token.token);
            output.print_text(
                &token_digest,
                &Digest {
                    token_digest: token_digest.clone(),
                },
            );
            Ok(())
        }
    }
}

/// Reads and checks a file. Prints its warnings, or returns all findings if there are errors.
pub fn read(path: &Path) -> Result<File, Error> {
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
    Ok(File { text, catalogue })
}

fn check(output: Output, path: &Path) -> Result<(), Error> {
    read(path)?;
    output.print_text("the catalogue is in order", &"ok");
    Ok(())
}

async fn diff(client: &Client, output: Output, path: &Path) -> Result<(), Error> {
    let file = read(path)?;
    let current: Document = client.get("/v1/admin/catalogue").await?;
    let before = Catalogue::parse(&current.text).unwrap_or_else(|_invalid| empty_like(&file.catalogue));
    let changes = catalogue::diff::changes(&before, &file.catalogue);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let text = match (lines.is_empty(), file.text == current.text) {
        (true, true) => format!("no changes from generation {}", current.generation),
        (true, false) => format!(
            "only comments or layout differ from generation {}",
            current.generation
        ),
        (false, _) => lines.join("\n"),
    };
    output.print_text(&text, &changes);
    Ok(())
}

/// Returns a catalogue without entries, to compare the first catalogue of a deployment with. Other values are those of
/// `after`.
fn empty_like(after: &Catalogue) -> Catalogue {
    Catalogue {
        zones: Vec::new(),
        workspaces: Vec::new(),
        classes: Vec::new(),
        endpoints: Vec::new(),
        ..after.clone()
    }
}

async fn show(client: &Client, output: Output) -> Result<(), Error> {
    let current: Document = client.get("/v1/admin/catalogue").await?;
    output.print_text(&current.text, &current);
    Ok(())
}

async fn status(client: &Client, output: Output) -> Result<(), Error> {
    let status: Status = client.get("/v1/admin/catalogue/status").await?;
    let text = format!(
        "generation {} known, {} in force on all {} nodes, {} applied by the queried node",
        status.known, status.in_force, status.nodes, status.applied
    );
    output.print_text(&text, &status);
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
