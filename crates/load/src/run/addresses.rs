//! Addresses as callers keep them.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use base::seed::Generator;
use indexmap::IndexMap;
use rand::RngExt;
use reqwest::Client;
use serde::Deserialize;
use tokio::time::Instant;

/// Best addresses among which callers choose at random.
const BEST: usize = 3;
/// Longest wait for a look-up.
const LOOK_UP: Duration = Duration::from_secs(2);

/// An answer to a look-up, as far as callers use it.
#[derive(Clone, Debug, Deserialize)]
struct Answer {
    addresses: Vec<Line>,
    lifetime_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct Line {
    address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Kept {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

/// Addresses kept for each endpoint for their lifetime; any node can be asked for more.
#[derive(Debug)]
pub struct Addresses {
    client: Client,
    seeds: Vec<SocketAddr>,
    kept: Mutex<IndexMap<String, Kept>>,
    random: Mutex<Generator>,
}

impl Addresses {
    /// No address but those of the settings.
    pub fn new(client: Client, seeds: Vec<SocketAddr>, random: Generator) -> Self {
        Self {
            client,
            seeds,
            kept: Mutex::default(),
            random: Mutex::new(random),
        }
    }

    /// An address for an endpoint, other than `not` if there is another.
    pub async fn pick(&self, endpoint: &str, not: Option<SocketAddr>) -> Option<SocketAddr> {
        let kept = self.known(endpoint);
        let addresses = match kept {
            Some(addresses) => addresses,
            None => self.look_up(endpoint).await?,
        };
        let others = addresses.iter().filter(|address| Some(**address) != not);
        let others = others.copied().collect::<Vec<_>>();
        let from = if others.is_empty() { &addresses } else { &others };
        let place = self.draw(from.len().min(BEST));
        from.get(place).copied()
    }

    /// Forgets what is kept for an endpoint, after a refused connection.
    pub fn forget(&self, endpoint: &str) {
        if let Ok(mut kept) = self.kept.lock() {
            kept.shift_remove(endpoint);
        }
    }

    fn known(&self, endpoint: &str) -> Option<Vec<SocketAddr>> {
        let kept = self.kept.lock().ok()?;
        let kept = kept.get(endpoint).filter(|kept| Instant::now() < kept.until)?;
        Some(kept.addresses.clone())
    }

    async fn look_up(&self, endpoint: &str) -> Option<Vec<SocketAddr>> {
        let start = self.draw(self.seeds.len());
        for offset in 0..self.seeds.len() {
            let seed = self.seeds[(start + offset) % self.seeds.len()];
            let Some(answer) = self.ask(seed, endpoint).await else {
                continue;
            };
            if answer.addresses.is_empty() {
                continue;
            }
            let addresses = answer
                .addresses
                .iter()
                .map(|line| line.address)
                .collect::<Vec<_>>();
            let until = Instant::now() + Duration::from_millis(answer.lifetime_ms);
            let kept = Kept {
                addresses: addresses.clone(),
                until,
            };
            if let Ok(mut all) = self.kept.lock() {
                all.insert(endpoint.to_owned(), kept);
            }
            return Some(addresses);
        }
        None
    }

    async fn ask(&self, seed: SocketAddr, endpoint: &str) -> Option<Answer> {
        let url = format!("http://{seed}/v1/addresses?endpoint={endpoint}");
        let asked = self.client.get(url).timeout(LOOK_UP).send();
        let response = asked.await.ok()?.error_for_status().ok()?;
        response.json().await.ok()
    }

    fn draw(&self, count: usize) -> usize {
        let Ok(mut random) = self.random.lock() else {
            return 0;
        };
        if count == 0 {
            0
        } else {
            random.random_range(0..count)
        }
    }
}
