//! The platform's store and, at another address, its API, as the pages describe them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer, serve};
use crate::json::{Json, decode, encode, quoted};

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: String,
    /// The item as it was written; `None` if it was removed.
    item: Option<Item>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    era: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    changes: Vec<Change>,
    is_down: bool,
}

/// A copy of the store.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    last_lease: u64,
    pub taken: Instant,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::new((Mutex::new(State { revision: 10, era: 1, ..State::default() }), Condvar::new())),
        };
        let this = store.clone();
        serve(listener, move |connection| this.clone().handle_connection(connection));
        let this = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                this.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.shared.1.notify_all();
    }

    /// Writes an item as the operator or a server.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.lock().put(key, encode(value.as_bytes()), 0);
        self.notify();
        revision
    }

    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy {
            revision: state.revision,
            items: state.items.clone(),
            changes: state.changes.clone(),
            last_lease: state.last_lease,
            taken: Instant::now(),
        }
    }

    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.notify();
    }

    /// Comes back from a copy: later changes are gone, all leases too, with the items that are bound to them.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.lock();
        state.era += 1;
        state.revision = copy.revision;
        state.items = copy.items.clone();
        state.items.retain(|_, item| item.lease == 0);
        state.changes = copy.changes.clone();
        state.last_lease = copy.last_lease;
        state.leases.clear();
        drop(state);
        self.notify();
    }

    fn expire(&self) {
        let mut state = self.lock();
        if state.is_down {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state.leases.iter().filter(|(_, it)| it.ends <= now).map(|(id, _)| *id).collect();
        for id in &ended {
            state.end_lease(*id);
        }
        drop(state);
        if !ended.is_empty() {
            self.notify();
        }
    }

    /// Opens another entrance, for a node that reaches servers by other addresses: words in the servers' entries are replaced.
    pub fn open_entrance(&self, listener: TcpListener, words: Vec<(String, String)>) {
        let this = self.clone();
        serve(listener, move |connection| this.clone().handle_with(connection, &words));
    }

    fn handle_connection(self, connection: Connection) {
        self.handle_with(connection, &[]);
    }

    fn handle_with(self, mut connection: Connection, words: &[(String, String)]) {
        while let Ok(Some(request)) = connection.read() {
            if self.lock().is_down {
                return;
            }
            let Some((status, body)) = self.call(&request) else { return };
            let body = replace_words(&body, words);
            if self.lock().is_down {
                return;
            }
            let era = self.lock().era;
            let lines = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if connection.write(answer(status, &lines, &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &Message) -> Option<(u16, String)> {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value).to_owned()
        };
        let path = path.strip_prefix("/bilberrylatch/").unwrap_or("");
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (verb, rest) = path.split_once('/').unwrap_or((path, ""));
        Some(match verb {
            "kv-key" => self.get(&field("key")),
            "kv-range" => self.range(&field("path-prefix"), &field("after")),
            "kv-watch" => self.watch(
                &field("path-prefix"),
                field("after").parse().unwrap_or(0),
                Duration::from_millis(field("wait-ms").parse().unwrap_or(0)),
            )?,
            "kv-txn" => self.write(&body),
            "kv-lease" => self.grant(body.get("ttl-ms").map_or(0, Json::number)),
            "kv-keep" => self.keep(rest.parse().unwrap_or(0)),
            "kv-lease-end" => {
                let mut state = self.lock();
                let found = state.leases.contains_key(&rest.parse().unwrap_or(0));
                state.end_lease(rest.parse().unwrap_or(0));
                drop(state);
                self.notify();
                (if found { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        })
    }

    fn get(&self, key: &str) -> (u16, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => {
                let shown = shown(key, item);
                let shown = shown.trim_end_matches('}').to_owned();
                (200, format!("{shown},\"store-revision\":{}}}", state.revision))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.lock();
        let fits = |(key, _): &(&String, &Item)| key.starts_with(prefix) && key.as_str() > after;
        let items: Vec<String> = state.items.iter().filter(fits).map(|(key, item)| shown(key, item)).collect();
        let shown = items.join(",");
        let revision = state.revision;
        (200, format!("{{\"items\":[{shown}],\"truncated\":false,\"store-revision\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let ends = Instant::now() + wait;
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_down || state.era != era {
                return None;
            }
            if after > state.revision {
                return Some((410, "{}".to_owned()));
            }
            let is_new = |it: &&Change| it.revision > after && it.key.starts_with(prefix);
            let events: Vec<String> = state.changes.iter().filter(is_new).map(event).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends {
                let shown = events.join(",");
                let revision = state.revision;
                return Some((200, format!("{{\"events\":[{shown}],\"store-revision\":{revision}}}")));
            }
            let waited = self.shared.1.wait_timeout(state, ends - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn write(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        let expected = body.get("expected-revision").map_or(&[][..], Json::list);
        let text = |row: &Json, name: &str| row.get(name).map_or("", Json::text).to_owned();
        let number = |row: &Json, name: &str| row.get(name).map_or(0, Json::number);
        let is_met = expected.iter().all(|row| {
            let known = state.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            known == number(row, "revision")
        });
        if !is_met {
            let current: Vec<String> = expected
                .iter()
                .map(|row| {
                    let key = text(row, "key");
                    match state.items.get(&key) {
                        Some(item) => shown(&key, item),
                        None => format!("{{\"key\":{},\"revision\":0}}", quoted(&key)),
                    }
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", current.join(",")));
        }
        let sets = body.get("set-keys").map_or(&[][..], Json::list);
        let lacks_lease = sets.iter().any(|row| {
            let lease = number(row, "lease");
            lease > 0 && !state.leases.contains_key(&lease)
        });
        if lacks_lease {
            return (404, "{}".to_owned());
        }
        for row in sets {
            let (key, value) = (text(row, "key"), text(row, "value"));
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            state.put(&key, value, number(row, "lease"));
        }
        for key in body.get("remove").map_or(&[][..], Json::list) {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.notify();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, ttl_ms: u64) -> (u16, String) {
        let mut state = self.lock();
        state.last_lease += 1;
        let id = state.last_lease;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
        (200, format!("{{\"lease\":{id},\"ttl-ms\":{ttl_ms}}}"))
    }

    fn keep(&self, id: u64) -> (u16, String) {
        match self.lock().leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, "{}".to_owned())
            }
            None => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push(Change { revision, key: key.to_owned(), item: Some(item) });
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        self.changes.push(Change { revision, key: key.to_owned(), item: None });
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            if id > 0 {
                self.remove(&key);
            }
        }
    }
}

fn replace_words(body: &str, words: &[(String, String)]) -> String {
    const KEY: &str = "\"key\":\"servers/";
    const VALUE: &str = "\"value\":\"";
    let mut shown = String::new();
    let mut rest = body;
    while let Some(position) = rest.find(KEY) {
        let Some(offset) = rest[position..].find(VALUE) else { break };
        let start = position + offset + VALUE.len();
        let Some(length) = rest[start..].find('"') else { break };
        let mut text = String::from_utf8_lossy(&decode(&rest[start..start + length])).into_owned();
        for (from, to) in words {
            text = text.replace(from, to);
        }
        shown.push_str(&rest[..start]);
        shown.push_str(&encode(text.as_bytes()));
        rest = &rest[start + length..];
    }
    shown.push_str(rest);
    shown
}

fn shown(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"create-rev\":{},\"lease\":{}}}",
        quoted(key),
        quoted(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn event(change: &Change) -> String {
    match &change.item {
        Some(item) => shown(&change.key, item),
        None => format!("{{\"key\":{},\"revision\":{},\"removed\":true}}", quoted(&change.key), change.revision),
    }
}

/// A call of a duty.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub at: Instant,
    pub path: String,
    pub holder: String,
    pub token: u64,
    pub body: String,
}

/// The platform's API, which accepts the calls of all duties and checks no fence.
#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl Cloud {
    pub fn start(listener: TcpListener) -> Self {
        let cloud = Self {
            address: listener.local_addr().expect("an address"),
            calls: Arc::default(),
        };
        let calls = Arc::clone(&cloud.calls);
        serve(listener, move |mut connection| {
            while let Ok(Some(request)) = connection.read() {
                let call = DutyCall {
                    at: Instant::now(),
                    path: request.word(1).to_owned(),
                    holder: request.header("lease-holder").unwrap_or("").to_owned(),
                    token: request.header("fencing-token").and_then(|it| it.parse().ok()).unwrap_or(0),
                    body: String::from_utf8_lossy(&request.body).into_owned(),
                };
                calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
                if connection.write(answer(200, "Content-Type: application/json\r\n", "{}").as_bytes()).is_err() {
                    return;
                }
            }
        });
        cloud
    }

    pub fn calls(&self) -> Vec<DutyCall> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
