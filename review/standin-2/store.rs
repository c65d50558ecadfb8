//! The platform's store and its API for duties, in memory.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{from_base64, quote, to_base64, Json};
use crate::record::Record;

/// Most items and most bytes of a page, as the pages of the platform say.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// A copy of the store, from which it can be restored.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<(u64, String)>,
    last_lease: u64,
}

/// Counts by tenant that the platform has accepted for a window, in the order in which they came.
pub type Usage = BTreeMap<u64, Vec<Json>>;

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key of each change, by revision.
    changes: Vec<(u64, String)>,
    /// Revision before which the history is forgotten.
    forgotten: u64,
    last_lease: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    /// Number of times that the store was restored.
    restores: u64,
    is_away: bool,
    usage: Usage,
    /// The node that last performed a duty.
    holder: String,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            record: record.clone(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            expiring.expire();
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Writes an item, as the operator, a replica or another writer.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.lock();
        if state.is_away {
            return;
        }
        state.revision += 1;
        state.put(key, value.to_vec(), 0);
        self.state.1.notify_all();
    }

    /// The value of a key, as text.
    pub fn text(&self, key: &str) -> Option<String> {
        let state = self.lock();
        state
            .items
            .get(key)
            .map(|item| String::from_utf8_lossy(&item.value).into_owned())
    }

    /// Copies the store.
    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy {
            revision: state.revision,
            items: state.items.clone(),
            changes: state.changes.clone(),
            last_lease: state.last_lease,
        }
    }

    /// The store is away: it does nothing and answers 503.
    pub fn leave(&self) {
        self.lock().is_away = true;
        self.state.1.notify_all();
    }

    /// The store comes back from a copy. What was written since is gone, and so are all leases.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.lock();
        state.restores += 1;
        state.is_away = false;
        state.revision = copy.revision;
        state.items.clone_from(&copy.items);
        state.items.retain(|_, item| item.lease == 0);
        state.changes.clone_from(&copy.changes);
        state.last_lease = copy.last_lease;
        state.leases.clear();
        self.state.1.notify_all();
    }

    /// The usage that the platform has accepted so far.
    pub fn usage(&self) -> Usage {
        self.lock().usage.clone()
    }

    /// The node that last performed a duty.
    pub fn holder(&self) -> String {
        self.lock().holder.clone()
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, it)| it.1 <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let writing = stream;
        let mut reader = BufReader::new(reading);
        loop {
            let Ok(Some(mut request)) = http::read_head(&mut reader) else {
                return;
            };
            if http::read_body(&mut reader, &mut request, false).is_err() {
                return;
            }
            let before = self.lock().restores;
            let (mut status, body) = self.answer(&request);
            let (after, is_away) = {
                let state = self.lock();
                (state.restores, state.is_away)
            };
            if before != after || is_away && !request.path().starts_with("/usage") {
                status = 503;
            }
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", (1 + after).to_string()),
            ];
            if http::respond(&writing, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path().to_owned();
        let tail = |prefix: &str| path.strip_prefix(prefix).and_then(|it| it.parse::<u64>().ok());
        match path.as_str() {
            "/bilberrylatch/kv-key" => self.read(request),
            "/bilberrylatch/kv-range" => self.list(request),
            "/bilberrylatch/kv-watch" => self.watch(request),
            "/bilberrylatch/kv-txn" => self.write(request),
            "/bilberrylatch/kv-lease" => self.grant(request),
            "/usage" | "/scale" => {
                let fence = request.header("fencing-token").unwrap_or("");
                let holder = request.header("lease-holder").unwrap_or("");
                let body = String::from_utf8_lossy(&request.body).into_owned();
                self.accept(&path, holder, &body);
                self.record
                    .line(&format!("platform: {path} from {holder}, fence {fence}: {body}"));
                (200, "{}".to_owned())
            }
            _ => {
                if let Some(lease) = tail("/bilberrylatch/kv-keep/") {
                    return self.keep(lease);
                }
                if let Some(lease) = tail("/bilberrylatch/kv-lease-end/") {
                    self.lock().end_lease(lease);
                    self.state.1.notify_all();
                    return (200, "{}".to_owned());
                }
                (404, "{}".to_owned())
            }
        }
    }

    fn accept(&self, path: &str, holder: &str, body: &str) {
        let mut state = self.lock();
        state.holder = holder.to_owned();
        let Some(body) = Json::parse(body).filter(|_| path == "/usage") else {
            return;
        };
        let window = body.get("window-id").and_then(Json::number);
        if let (Some(window), Some(counts)) = (window, body.get("counts")) {
            let accepted = state.usage.entry(window).or_default();
            if !accepted.contains(counts) {
                accepted.push(counts.clone());
            }
        }
    }

    fn read(&self, request: &Message) -> (u16, String) {
        let key = request.query("key").unwrap_or_default();
        let state = self.lock();
        match state.items.get(&key) {
            Some(item) => (200, encode(&key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    /// A page ends after the item with which it has the most items or bytes.
    fn list(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("path-prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.lock();
        let matching = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, item) in matching {
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                truncated = true;
                break;
            }
            let encoded = encode(key, item);
            bytes += encoded.len();
            items.push(encoded);
        }
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"store-revision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("path-prefix").unwrap_or_default();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|it| it.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (after, wait) = (number("after"), number("wait-ms"));
        let ends = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let restores = state.restores;
        loop {
            if state.restores != restores || state.is_away {
                return (503, "{}".to_owned());
            }
            if after < state.forgotten || after > state.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|(revision, key)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key)| match state.items.get(key) {
                    Some(item) if item.revision == *revision => encode(key, item),
                    // A later change of the key follows.
                    Some(_) => String::new(),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                        quote(key)
                    ),
                })
                .filter(|event| !event.is_empty())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends {
                let body = format!(
                    "{{\"events\":[{}],\"store-revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, ends - now).unwrap().0;
        }
    }

    fn write(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| body.get(name).map_or_else(Vec::new, |it| it.list().to_vec());
        let key_of = |row: &Json| row.get("key").and_then(Json::text).unwrap_or("").to_owned();
        let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0);
        let mut state = self.lock();
        if state.is_away {
            return (503, "{}".to_owned());
        }
        let expected = rows("expected-revision");
        let holds = |row: &Json| {
            let current = state.items.get(&key_of(row)).map_or(0, |item| item.revision);
            current == number(row, "revision")
        };
        if !expected.iter().all(holds) {
            let items = expected.iter().filter_map(|row| {
                let key = key_of(row);
                state.items.get(&key).map(|item| encode(&key, item))
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let sets = rows("set-keys");
        let leased = |row: &Json| number(row, "lease");
        if sets
            .iter()
            .any(|row| leased(row) > 0 && !state.leases.contains_key(&leased(row)))
        {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for row in &sets {
            let value = from_base64(row.get("value").and_then(Json::text).unwrap_or(""));
            state.put(&key_of(row), value, leased(row));
        }
        for key in rows("remove").iter().filter_map(Json::text) {
            state.remove(key);
        }
        let revision = state.revision;
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, request: &Message) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let ttl_ms = body
            .as_ref()
            .and_then(|it| it.get("ttl-ms"))
            .and_then(Json::number)
            .unwrap_or(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        if state.is_away {
            return (503, "{}".to_owned());
        }
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl-ms\":{ttl_ms}}}"))
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        match self.lock().leases.get_mut(&lease) {
            Some((ttl, ends)) => {
                *ends = Instant::now() + *ttl;
                (200, format!("{{\"ttl-ms\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.changes.push((self.revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.to_owned()));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let bound: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        self.revision += 1;
        for key in bound {
            self.remove(&key);
        }
    }
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"create-rev\":{},\"lease\":{}}}",
        quote(key),
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}
