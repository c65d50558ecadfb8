//! The program: settings, signals and reloads.

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::interval;

use crate::node::{Adapter, Node};
use crate::settings::Source;
use crate::{Error, Settings, logs, metrics};

/// Environment variable with the path of the settings file.
const SETTINGS_FILE_VARIABLE: &str = "BILBERRYLATCH_SETTINGS";
/// Interval at which the settings file is checked for changes, since it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a node until it receives a termination signal. `assemble` creates the platform's adapter.
pub fn run<F>(assemble: F) -> ExitCode
where
    F: FnOnce(&Settings) -> Result<Adapter, Error>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime
        .map_err(|error| Error::Setup(error.to_string()))
        .and_then(|runtime| runtime.block_on(serve(assemble)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve<F>(assemble: F) -> Result<(), Error>
where
    F: FnOnce(&Settings) -> Result<Adapter, Error>,
{
    let file = SettingsFile::from_environment();
    let settings = file.read()?;
    logs::start(settings.log_level)?;
    let handle = metrics::install()?;
    let adapter = assemble(&settings)?;
    let mut signals = Signals::install()?;
    let mut current = settings.clone();
    let node = Node::start(settings, adapter, Some(handle)).await?;
    let mut poll = interval(POLL_INTERVAL);
    loop {
        let by_signal = tokio::select! {
            _signal = signals.terminate.recv() => break,
            _signal = signals.interrupt.recv() => break,
            _signal = signals.hangup.recv() => true,
            _tick = poll.tick() => false,
        };
        reload(&node, &file, &mut current, by_signal);
    }
    node.stop().await;
    Ok(())
}

/// Applies a changed settings file. An invalid file leaves the current settings in force.
fn reload(node: &Node, file: &SettingsFile, current: &mut Settings, by_signal: bool) {
    match file.read() {
        Ok(settings) if settings != *current => {
            log::info!(by_signal; "settings reloaded");
            node.shared().set_settings(settings.clone());
            *current = settings;
        }
        Ok(_same) if by_signal => log::info!(by_signal; "settings unchanged"),
        Ok(_same) => {}
        Err(error) => log::error!(by_signal, cause:% = error; "settings not reloaded"),
    }
}

/// The settings file, if one is configured, on top of the environment.
#[derive(Clone, Debug)]
struct SettingsFile {
    path: Option<PathBuf>,
}

impl SettingsFile {
    fn from_environment() -> Self {
        Self {
            path: env::var_os(SETTINGS_FILE_VARIABLE).map(PathBuf::from),
        }
    }

    fn read(&self) -> Result<Settings, Error> {
        let mut source = Source::new(env::vars());
        if let Some(path) = &self.path {
            let shown = path.display().to_string();
            let text = std::fs::read_to_string(path)
                .map_err(|error| Error::Settings(format!("{SETTINGS_FILE_VARIABLE}: {shown}: {error}")))?;
            source = source.with_file(&shown, &text);
        }
        Settings::read(&source).map_err(|findings| Error::Settings(findings.to_string()))
    }
}

#[derive(Debug)]
struct Signals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
    hangup: tokio::signal::unix::Signal,
}

impl Signals {
    fn install() -> Result<Self, Error> {
        let install = |kind| signal(kind).map_err(|error| Error::Setup(format!("signals: {error}")));
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }
}
