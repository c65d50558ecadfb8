//! A whole deployment in one process: fake servers, three nodes, and callers that verify every answer.

pub mod caller;
pub mod counts;
pub mod deployment;

use log::LevelFilter;
use node::settings::Format;

use crate::Error;
use deployment::Deployment;

/// Runs the demo: sends `requests` and prints how they ended, or without a number runs until interrupted.
pub async fn run(requests: Option<usize>) -> Result<(), Error> {
    let level = std::env::var("BILBERRYLATCH_LOG_LEVEL")
        .ok()
        .and_then(|level| level.parse().ok());
    node::logs::start(Format::Human, level.unwrap_or(LevelFilter::Warn))
        .map_err(|error| Error::Demo(error.to_string()))?;
    let deployment = Deployment::start().await?;
    let Some(requests) = requests else {
        return run_until_interrupted(deployment).await;
    };
    let counts = caller::run(&deployment, requests).await?;
    deployment.stop().await;
    println!("{counts}");
    if counts.is_success() {
        Ok(())
    } else {
        Err(Error::Demo(
            "some requests had no answer or a wrong answer".to_owned(),
        ))
    }
}

async fn run_until_interrupted(deployment: Deployment) -> Result<(), Error> {
    println!("{deployment}");
    let _interrupted = tokio::signal::ctrl_c().await;
    deployment.stop().await;
    Ok(())
}
