//! Everything in one process: stand-ins, three nodes, and callers that check every byte.

pub mod caller;
pub mod deployment;
pub mod tally;

use log::LevelFilter;
use node::settings::Format;

use crate::Error;
use deployment::Deployment;

/// Runs the demo; without `requests` it stays up until it is interrupted.
pub async fn run(requests: Option<usize>) -> Result<(), Error> {
    let level = std::env::var("BILBERRYLATCH_LOG_LEVEL")
        .ok()
        .and_then(|level| level.parse().ok());
    node::logs::start(Format::Human, level.unwrap_or(LevelFilter::Warn))
        .map_err(|error| Error::Demo(error.to_string()))?;
    let deployment = Deployment::start().await?;
    let Some(requests) = requests else {
        return stay(deployment).await;
    };
    let tally = caller::run(&deployment, requests).await?;
    deployment.stop().await;
    println!("{tally}");
    if tally.is_clean() {
        Ok(())
    } else {
        Err(Error::Demo(
            "some requests had no answer or a wrong one".to_owned(),
        ))
    }
}

async fn stay(deployment: Deployment) -> Result<(), Error> {
    println!("{deployment}");
    let _interrupted = tokio::signal::ctrl_c().await;
    deployment.stop().await;
    Ok(())
}
