//! Settings of a node, from flags and environment variables. All of them are checked together.

pub mod finding;
pub mod source;

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use base::Name;
use log::LevelFilter;

use crate::args::Bilberrylatchd;
pub use finding::{Finding, Findings};
pub use source::Source;

/// Minimum length of a secret, in bytes.
const SECRET_MIN_BYTES: usize = 16;

/// Maximum duration of a graceful stop, in seconds.
const DRAIN_MAX_SECONDS: u64 = 3600;

/// Maximum length of a name, in bytes.
const NAME_MAX_BYTES: usize = 63;

/// Log format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Plain text lines.
    Human,
    /// One JSON object per line.
    Json,
}

/// All settings of a node.
#[derive(Clone)]
pub struct Settings {
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other nodes.
    pub peer_listen: SocketAddr,
    /// Name of the node.
    pub name: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// Region of the VM.
    pub region: Name,
    /// URL of the key-value service.
    pub store: String,
    /// URL of the cloud's API.
    pub cloud: String,
    /// Addresses of peers to contact at the start.
    pub peers: Vec<SocketAddr>,
    /// Secret shared by the nodes of the deployment.
    pub peer_secret: String,
    /// Bearer token of operators.
    pub operator_token: String,
    /// Maximum duration of a graceful stop.
    pub drain: Duration,
    /// Log format.
    pub log_format: Format,
    /// Minimum log level.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Reads settings from flags or, if those are not given, environment variables. Reports all findings at
    /// once.
    pub fn read<V>(args: &Bilberrylatchd, variable: V) -> Result<Self, Findings>
    where
        V: Fn(&str) -> Option<String>,
    {
        let mut source = Source::new(variable);
        let listen = source.address("listen", args.listen.as_deref(), Some("127.0.0.1:7400"));
        let peer_listen = source.address("peer-listen", args.peer_listen.as_deref(), Some("127.0.0.1:7500"));
        let name = source.name("name", args.name.as_deref());
        let zone = source.name("zone", args.zone.as_deref());
        let region = source.name("region", args.region.as_deref());
        let store = source.url("store", args.store.as_deref());
        let cloud = source.url("cloud", args.cloud.as_deref());
        let peers = source.addresses("peers", args.peers.as_deref());
        let drain = source.seconds(
            "drain-seconds",
            args.drain_seconds.as_deref(),
            30,
            DRAIN_MAX_SECONDS,
        );
        let log_format = source.format("log-format", args.log_format.as_deref());
        let log_level = source.level("log-level", args.log_level.as_deref());
        let peer_secret = source.secret("PEER_SECRET");
        let operator_token = source.secret("OPERATOR_TOKEN");
        let findings = source.into_findings();
        if !findings.is_empty() {
            return Err(findings);
        }
        Ok(Self {
            listen,
            peer_listen,
            name,
            zone,
            region,
            store,
            cloud,
            peers,
            peer_secret,
            operator_token,
            drain,
            log_format,
            log_level,
        })
    }
}

impl std::fmt::Debug for Settings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // NB: secrets must not be logged.
        f.debug_struct("Settings")
            .field("listen", &self.listen)
            .field("peer_listen", &self.peer_listen)
            .field("name", &self.name)
            .field("zone", &self.zone)
            .field("region", &self.region)
            .field("store", &self.store)
            .field("cloud", &self.cloud)
            .field("peers", &self.peers)
            .finish_non_exhaustive()
    }
}

impl<V> Source<V>
where
    V: Fn(&str) -> Option<String>,
{
    fn address(&mut self, name: &str, flag: Option<&str>, default: Option<&str>) -> SocketAddr {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        self.parse(
            name,
            flag,
            default,
            "an IP address and port, for example 10.0.0.5:7400",
            |text| SocketAddr::from_str(text).ok(),
        )
        .unwrap_or(unset)
    }

    fn addresses(&mut self, name: &str, flag: Option<&str>) -> Vec<SocketAddr> {
        self.parse(
            name,
            flag,
            Some(""),
            "IP:PORT addresses separated by commas",
            |text| {
                text.split(',')
                    .map(str::trim)
                    .filter(|part| !part.is_empty())
                    .map(|part| SocketAddr::from_str(part).ok())
                    .collect()
            },
        )
        .unwrap_or_default()
    }

    fn name(&mut self, name: &str, flag: Option<&str>) -> Name {
        self.parse(name, flag, None, "1 to 63 letters, digits, '-' or '.'", |text| {
            let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.';
            let sized = !text.is_empty() && text.len() <= NAME_MAX_BYTES;
            (sized && text.bytes().all(allowed)).then(|| Name::new(text))
        })
        .unwrap_or_default()
    }

    fn url(&mut self, name: &str, flag: Option<&str>) -> String {
        self.parse(
            name,
            flag,
            None,
            "a URL, for example http://10.0.0.9:7100",
            |text| {
                let url = reqwest::Url::parse(text).ok()?;
                matches!(url.scheme(), "http" | "https").then(|| text.trim_end_matches('/').to_owned())
            },
        )
        .unwrap_or_default()
    }

    fn seconds(&mut self, name: &str, flag: Option<&str>, default: u64, max: u64) -> Duration {
        let default = default.to_string();
        self.parse(
            name,
            flag,
            Some(&default),
            &format!("whole seconds from 0 to {max}"),
            |text| {
                text.parse()
                    .ok()
                    .filter(|seconds| *seconds <= max)
                    .map(Duration::from_secs)
            },
        )
        .unwrap_or_default()
    }

    fn format(&mut self, name: &str, flag: Option<&str>) -> Format {
        self.parse(name, flag, Some("human"), "human or json", |text| match text {
            "human" => Some(Format::Human),
            "json" => Some(Format::Json),
            _ => None,
        })
        .unwrap_or(Format::Human)
    }

    fn level(&mut self, name: &str, flag: Option<&str>) -> LevelFilter {
        self.parse(
            name,
            flag,
            Some("info"),
            "error, warn, info, debug or trace",
            |text| text.parse().ok(),
        )
        .unwrap_or(LevelFilter::Info)
    }

    fn secret(&mut self, name: &str) -> String {
        self.variable_only(name, "at least 16 characters", |text| {
            (text.len() >= SECRET_MIN_BYTES).then(|| text.to_owned())
        })
        .unwrap_or_default()
    }
}
