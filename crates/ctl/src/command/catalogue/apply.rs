//! `catalogue apply`: writes an edit once; with `--wait` also waits until it is in force on all nodes.

use std::io::IsTerminal;
use std::time::Duration;

use indicatif::ProgressBar;
use reqwest::Method;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::{Document, Status, read};
use crate::output::Output;
use crate::{Client, Error, args};

/// Default of `--timeout-seconds`.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between polls of the status, and step of the delay between attempts to submit.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum attempts to submit an edit while its outcome is unknown.
const SUBMIT_ATTEMPTS: u32 = 5;

/// Answer to an accepted edit.
#[derive(Debug, Deserialize, Serialize)]
struct Accepted {
    generation: u64,
}

/// Applies a catalogue file.
pub async fn run(client: &Client, output: Output, flags: args::Apply) -> Result<(), Error> {
    let text = read(&flags.file)?.text;
    let expected = match flags.expected {
        Some(expected) => expected,
        None => client.get::<Document>("/v1/admin/catalogue").await?.generation,
    };
    let id = flags
        .id
        .unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string());
    let author = flags
        .author
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "operator".to_owned());
    let accepted = submit(client, &text, expected, &id, &author).await?;
    output.print_text(
        &format!("written as generation {}", accepted.generation),
        &accepted,
    );
    if flags.wait {
        let timeout = flags.timeout_seconds.map_or(DEFAULT_TIMEOUT, Duration::from_secs);
        wait(client, accepted.generation, timeout).await?;
    }
    Ok(())
}

/// Sends the edit. If the outcome is unknown, sends it again with the same id, so that it is applied at most once.
async fn submit(
    client: &Client,
    text: &str,
    expected: u64,
    id: &str,
    author: &str,
) -> Result<Accepted, Error> {
    let path = edit_path(expected, id, author)?;
    let mut attempt = 1;
    loop {
        match client.send(Method::PUT, &path, text.to_owned()).await {
            Err(Error::Indeterminate(_)) if attempt < SUBMIT_ATTEMPTS => {}
            result => return result,
        }
        attempt += 1;
        sleep(POLL_INTERVAL * attempt).await;
    }
}

/// Returns the path and the percent-encoded query of the edit.
fn edit_path(expected: u64, id: &str, author: &str) -> Result<String, Error> {
    const RESOURCE: &str = "http://node/v1/admin/catalogue";
    let expected = expected.to_string();
    let query = [("expected", expected.as_str()), ("id", id), ("author", author)];
    let url =
        reqwest::Url::parse_with_params(RESOURCE, query).map_err(|error| Error::Usage(error.to_string()))?;
    Ok(format!("{}?{}", url.path(), url.query().unwrap_or_default()))
}

async fn wait(client: &Client, generation: u64, timeout: Duration) -> Result<(), Error> {
    let spinner = if std::io::stderr().is_terminal() {
        ProgressBar::new_spinner()
    } else {
        ProgressBar::hidden()
    };
    spinner.enable_steady_tick(POLL_INTERVAL);
    let deadline = Instant::now() + timeout;
    loop {
        let status: Status = client.get("/v1/admin/catalogue/status").await?;
        if status.in_force >= generation {
            spinner.finish_and_clear();
            eprintln!("accepted: in force on all {} nodes", status.nodes);
            return Ok(());
        }
        let zones: Vec<&str> = status.behind.iter().map(|zone| zone.zone.as_str()).collect();
        let progress = format!(
            "generation {generation} is not yet applied in {}",
            zones.join(", ")
        );
        if Instant::now() >= deadline {
            return Err(Error::Timeout(progress));
        }
        spinner.set_message(progress);
        sleep(POLL_INTERVAL).await;
    }
}
