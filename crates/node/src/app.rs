//! Entry point of the daemon: arguments, settings and signals.

use std::env;
use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

use crate::args::Bilberrylatchd;
use crate::exit::Exit;
use crate::node::Node;
use crate::settings::Settings;
use crate::supervise::supervise;
use crate::{Error, logs};
use clock::Clock;

/// Runs the daemon until it is asked to stop.
pub fn run() -> ExitCode {
    let exit = match prepare() {
        Ok(Some(settings)) => run_daemon(settings),
        Ok(None) => Exit::Success,
        Err(exit) => exit,
    };
    exit.into()
}

/// Reads the settings; `None` if there is nothing to run because of `--check`.
fn prepare() -> Result<Option<Settings>, Exit> {
    let args = Bilberrylatchd::from_args(env::args_os().skip(1).collect()).map_err(|error| {
        // `--help` is reported as an error, but counts as success.
        if error.is_help() {
            println!("{error}");
            return Exit::Success;
        }
        eprintln!("{error}");
        Exit::Settings
    })?;
    let settings = Settings::read(&args, |name| env::var(name).ok()).map_err(|findings| {
        eprintln!("{findings}");
        Exit::Settings
    })?;
    if args.check {
        println!("settings are in order");
        return Ok(None);
    }
    Ok(Some(settings))
}

fn run_daemon(settings: Settings) -> Exit {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("failed to start the async runtime: {error}");
            return Exit::Internal;
        }
    };
    match runtime.block_on(run_node(settings)) {
        Ok(()) => Exit::Success,
        Err(error) => {
            eprintln!("{error}");
            error.exit()
        }
    }
}

async fn run_node(settings: Settings) -> Result<(), Error> {
    logs::start(settings.log_format, settings.log_level)?;
    let clock = Clock::new();
    let node = Node::start_with(settings.clone(), clock, None).await?;
    // NB: scripts and tests wait for this line.
    println!("listening {} peers {}", node.address(), node.peer_address());
    // Later incarnations keep the bound addresses, including ports assigned by the system.
    let settings = Settings {
        listen: node.address(),
        peer_listen: node.peer_address(),
        ..settings
    };
    supervise(node, settings, clock, termination_signal(), |_next| ()).await
}

/// Waits for SIGTERM or SIGINT. Further signals have no effect, as the handlers stay installed.
async fn termination_signal() {
    let (Ok(mut term), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _signal = term.recv() => {}
        _signal = interrupt.recv() => {}
    }
}
