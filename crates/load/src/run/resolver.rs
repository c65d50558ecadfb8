//! Client-side address resolution with a cache.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use base::seed::Generator;
use indexmap::IndexMap;
use rand::RngExt;
use reqwest::Client;
use serde::Deserialize;
use tokio::time::Instant;

/// Number of best-ranked addresses from which one is chosen at random.
const MAX_CANDIDATES: usize = 3;
/// Timeout of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// The fields of a lookup response that callers use.
#[derive(Clone, Debug, Deserialize)]
struct LookupResponse {
    addresses: Vec<Entry>,
    lifetime_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct Entry {
    address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Cached {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

/// Resolves endpoints to node addresses and caches the result for its lifetime. Lookups may go to any node.
#[derive(Debug)]
pub struct Resolver {
    client: Client,
    seeds: Vec<SocketAddr>,
    cache: Mutex<IndexMap<String, Cached>>,
    random: Mutex<Generator>,
}

impl Resolver {
    /// Creates a resolver with an empty cache that sends lookups to the seed nodes.
    pub fn new(client: Client, seeds: Vec<SocketAddr>, random: Generator) -> Self {
        Self {
            client,
            seeds,
            cache: Mutex::default(),
            random: Mutex::new(random),
        }
    }

    /// Picks an address for an endpoint, avoiding `excluded` if there is another.
    pub async fn pick(&self, endpoint: &str, excluded: Option<SocketAddr>) -> Option<SocketAddr> {
        let cached = self.cached(endpoint);
        let addresses = match cached {
            Some(addresses) => addresses,
            None => self.lookup(endpoint).await?,
        };
        let others = addresses.iter().filter(|address| Some(**address) != excluded);
        let others = others.copied().collect::<Vec<_>>();
        let candidates = if others.is_empty() { &addresses } else { &others };
        let index = self.random_index(candidates.len().min(MAX_CANDIDATES));
        candidates.get(index).copied()
    }

    /// Removes an endpoint from the cache, after a refused connection.
    pub fn invalidate(&self, endpoint: &str) {
        if let Ok(mut cache) = self.cache.lock() {
            cache.shift_remove(endpoint);
        }
    }

    fn cached(&self, endpoint: &str) -> Option<Vec<SocketAddr>> {
        let cache = self.cache.lock().ok()?;
        let cached = cache
            .get(endpoint)
            .filter(|cached| Instant::now() < cached.expires_at)?;
        Some(cached.addresses.clone())
    }

    async fn lookup(&self, endpoint: &str) -> Option<Vec<SocketAddr>> {
        let start = self.random_index(self.seeds.len());
        for offset in 0..self.seeds.len() {
            let seed = self.seeds[(start + offset) % self.seeds.len()];
            let Some(response) = self.query(seed, endpoint).await else {
                continue;
            };
            if response.addresses.is_empty() {
                continue;
            }
            let addresses = response
                .addresses
                .iter()
                .map(|entry| entry.address)
                .collect::<Vec<_>>();
            let expires_at = Instant::now() + Duration::from_millis(response.lifetime_ms);
            let cached = Cached {
                addresses: addresses.clone(),
                expires_at,
            };
            if let Ok(mut cache) = self.cache.lock() {
                cache.insert(endpoint.to_owned(), cached);
            }
            return Some(addresses);
        }
        None
    }

    async fn query(&self, seed: SocketAddr, endpoint: &str) -> Option<LookupResponse> {
        let url = format!("http://{seed}/v1/addresses?endpoint={endpoint}");
        let request = self.client.get(url).timeout(LOOKUP_TIMEOUT).send();
        let response = request.await.ok()?.error_for_status().ok()?;
        response.json().await.ok()
    }

    fn random_index(&self, count: usize) -> usize {
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
