//! Entry point: parses the flags and runs one command.

use std::env;
use std::process::ExitCode;

use crate::args::{Bilberrylatch, BilberrylatchCmd};
use crate::output::Output;
use crate::{Client, Error, command, demo};

/// Runs the command given by the arguments and returns its exit code.
pub fn run() -> ExitCode {
    let args = Bilberrylatch::from_env_or_exit();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("failed to start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(dispatch(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code().into()
        }
    }
}

async fn dispatch(args: Bilberrylatch) -> Result<(), Error> {
    let output = if args.json { Output::Json } else { Output::Human };
    match args.subcommand {
        BilberrylatchCmd::Catalogue(catalogue) => {
            command::catalogue::run(&args.node, output, catalogue).await
        }
        BilberrylatchCmd::Rollout(rollout) => {
            command::rollout::run(args.node.as_deref(), output, rollout).await
        }
        BilberrylatchCmd::Keys(_) => command::keys::run(&create_client(args.node.as_deref())?, output).await,
        BilberrylatchCmd::Nodes(_) => {
            command::nodes::run(&create_client(args.node.as_deref())?, output).await
        }
        BilberrylatchCmd::Replicas(_) => {
            command::replicas::run(&create_client(args.node.as_deref())?, output).await
        }
        BilberrylatchCmd::Platform(flags) => command::platform::run(flags.metrics.as_deref(), output).await,
        BilberrylatchCmd::Margins(flags) => command::margins::run(output, &flags),
        BilberrylatchCmd::Configuration(flags) => command::configuration::run(output, &flags).await,
        BilberrylatchCmd::Demo(flags) => demo::run(flags.requests).await,
    }
}

/// Creates a client from the `--node` flag and the environment.
pub fn create_client(nodes: Option<&str>) -> Result<Client, Error> {
    let nodes = match nodes {
        Some(nodes) => nodes.to_owned(),
        None => env::var("BILBERRYLATCH_NODE").unwrap_or_else(|_unset| "http://127.0.0.1:7400".to_owned()),
    };
    let token = env::var("BILBERRYLATCH_OPERATOR_TOKEN").map_err(|_unset| {
        Error::Usage("BILBERRYLATCH_OPERATOR_TOKEN: missing; set it to the operators' token".to_owned())
    })?;
    let nodes = nodes
        .split(',')
        .map(|node| node.trim().trim_end_matches('/').to_owned());
    Client::new(nodes.filter(|node| !node.is_empty()).collect(), token)
}
