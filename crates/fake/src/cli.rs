//! Command line of `bilberrylatch-fake`.
//!
//! Every flag can also be set by an environment variable: `--kv-flag` by `BILBERRYLATCH_FAKE_KV_FLAG`.
//! The first line on standard output is `listening ADDR`.

mod flags;
mod setting;

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use base::Millis;
use flags::{BilberrylatchFake, BilberrylatchFakeCmd};
use tokio::signal::unix::{SignalKind, signal};

use crate::cloud::server::Template;
use crate::replica::WeightStore;
use crate::replica::orders::Fencing;
use crate::{Error, Handle, cloud, engine, kv, service};

/// Exit code for invalid settings, the conventional code for usage errors.
const EXIT_USAGE: u8 = 2;

/// Runs the fake server selected by the subcommand until SIGTERM or SIGINT.
pub fn main() -> ExitCode {
    let flags = BilberrylatchFake::from_env_or_exit();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("cannot start the async runtime: {cause}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(flags.subcommand)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ Error::Setting { .. }) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: BilberrylatchFakeCmd) -> Result<(), Error> {
    let handle = start(command).await?;
    println!("listening {}", handle.addr());
    // The server keeps running if nobody reads standard output.
    let _flushed = std::io::stdout().flush();
    wait_for_signal().await;
    Ok(())
}

async fn start(command: BilberrylatchFakeCmd) -> Result<Handle, Error> {
    match command {
        BilberrylatchFakeCmd::Kv(flags) => {
            let server = kv::Server::new();
            server.start(listen_addr(flags.listen)?).await
        }
        BilberrylatchFakeCmd::Cloud(flags) => start_cloud(flags).await,
        BilberrylatchFakeCmd::Engine(flags) => {
            let addr = listen_addr(flags.listen)?;
            start_engine(flags, addr).await
        }
        BilberrylatchFakeCmd::Service(flags) => {
            let addr = listen_addr(flags.listen)?;
            start_service(flags, addr).await
        }
    }
}

async fn start_cloud(flags: flags::Cloud) -> Result<Handle, Error> {
    let lag = setting::parsed("--lag-ms", flags.lag_ms)?;
    let boot_time = setting::parsed("--boot-ms", flags.boot_ms)?;
    let mut server = cloud::Server::new()
        .with_lag(Millis(lag.unwrap_or(0)))
        .with_boot_time(Millis(boot_time.unwrap_or(0)));
    for endpoint in setting::names("--engines", flags.engines) {
        server = server.with_template(&endpoint, Template::Engine(engine::Server::new()));
    }
    for endpoint in setting::names("--services", flags.services) {
        server = server.with_template(&endpoint, Template::Service(service::Server::new()));
    }
    server.start(listen_addr(flags.listen)?).await
}

async fn start_engine(flags: flags::Engine, addr: SocketAddr) -> Result<Handle, Error> {
    let defaults = engine::model::Config::default();
    let config = engine::model::Config {
        iteration_us: setting::parsed("--iteration-us", flags.iteration_us)?.unwrap_or(defaults.iteration_us),
        sequence_us: setting::parsed("--sequence-us", flags.sequence_us)?.unwrap_or(defaults.sequence_us),
        prefill_us: setting::parsed("--prefill-us", flags.prefill_us)?.unwrap_or(defaults.prefill_us),
        max_running: setting::parsed("--capacity", flags.capacity)?.unwrap_or(defaults.max_running),
        cache_blocks: setting::parsed("--cache-blocks", flags.cache_blocks)?.unwrap_or(defaults.cache_blocks),
        ..defaults
    };
    let mut server = engine::Server::new().with_config(config);
    if let Some(version) = setting::text("--version", flags.version) {
        server = server.with_version(&version);
    }
    if let Some(lag) = setting::parsed("--lag-ms", flags.lag_ms)? {
        server = server.with_lag(Millis(lag));
    }
    let size_mb = setting::parsed("--weights-mb", flags.weights_mb)?;
    let mb_per_s = setting::parsed("--weights-mb-per-s", flags.weights_mb_per_s)?;
    if let (Some(size_mb), Some(mb_per_s)) = (size_mb, mb_per_s) {
        server = server.with_weights(Arc::new(WeightStore::new(mb_per_s)), size_mb);
    }
    if setting::enabled("--ignore-fencing", flags.ignore_fencing) {
        server = server.with_fencing(Fencing::Ignored);
    }
    server.start(addr).await
}

async fn start_service(flags: flags::Service, addr: SocketAddr) -> Result<Handle, Error> {
    let mut server = service::Server::new();
    if let Some(version) = setting::text("--version", flags.version) {
        server = server.with_version(&version);
    }
    if let Some(lag) = setting::parsed("--lag-ms", flags.lag_ms)? {
        server = server.with_lag(Millis(lag));
    }
    if let Some(capacity) = setting::parsed("--capacity", flags.capacity)? {
        server = server.with_capacity(capacity);
    }
    if let Some(work_time) = setting::parsed("--work-ms", flags.work_ms)? {
        server = server.with_work_time(Millis(work_time));
    }
    if setting::enabled("--ignore-fencing", flags.ignore_fencing) {
        server = server.with_fencing(Fencing::Ignored);
    }
    server.start(addr).await
}

fn listen_addr(flag: Option<SocketAddr>) -> Result<SocketAddr, Error> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(setting::parsed("--listen", flag)?.unwrap_or(loopback))
}

async fn wait_for_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    let Ok(mut interrupt) = signal(SignalKind::interrupt()) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
