//! The platform's metadata store: lists, watches and conditional writes, as PROTOCOL.md has them.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, json, record::Record};

/// Time for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    spec: String,
    revision: u64,
    created: u64,
}

/// A change: its revision, kind and name, and the object; `None` once it is removed.
type Change = (u64, String, String, Option<Object>);

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    /// Machine whose calls get no answer now, by its address of the store; so do its watches that
    /// wait.
    silenced: Option<SocketAddr>,
    /// Number of stale reads by each machine.
    stale_reads: BTreeMap<SocketAddr, u64>,
}

/// The store; clones are the same one.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn new(record: Record) -> Self {
        Self {
            state: Arc::default(),
            record,
        }
    }

    /// Returns an address of the store for one machine, by which it knows the machine.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.answer_all(stream, address));
            }
        });
        address
    }

    /// Writes an object as an operator or a backend does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = state.objects.get(&key)
            && known.spec == spec
        {
            return known.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        let known = state.objects.get(&key);
        let object = Object {
            spec: spec.to_owned(),
            revision,
            created: known.map_or(revision, |it| it.created),
        };
        state.objects.insert(key.clone(), object.clone());
        state.history.push((revision, key.0, key.1, Some(object)));
        changed.notify_all();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.remove(&key).is_some() {
            state.revision += 1;
            let change = (state.revision, key.0, key.1, None);
            state.history.push(change);
            changed.notify_all();
        }
    }

    /// Turns the calls of a machine away by silence, or serves them again.
    pub fn silence(&self, address: Option<SocketAddr>) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().silenced = address;
        changed.notify_all();
    }

    /// Waits until a stale read of a machine, by which an instance probes the store, was served.
    pub fn after_probe(&self, address: SocketAddr) {
        let count = || {
            self.state
                .0
                .lock()
                .unwrap()
                .stale_reads
                .get(&address)
                .copied()
        };
        let before = count();
        while count() == before {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(20));
    }

    fn answer_all(&self, stream: TcpStream, machine: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let Ok(input) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(input);
        while let Ok(Some(call)) = http::read(&mut input) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&call);
            if call.first[1].contains("serializable=1") {
                *self
                    .state
                    .0
                    .lock()
                    .unwrap()
                    .stale_reads
                    .entry(machine)
                    .or_default() += 1;
            }
            if self.state.0.lock().unwrap().silenced == Some(machine) {
                let line = format!("{} {}", call.first[0], call.first[1]);
                self.record
                    .write(&format!("store: the answer to {line} at {machine} is lost"));
                // A connection on which a response is lost returns nothing further.
                let _ = http::read(&mut input);
                return;
            }
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if http::respond(&stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &http::Message) -> (u16, String) {
        let (path, query) = call.first[1]
            .split_once('?')
            .unwrap_or((&call.first[1], ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return (404, "{}".into());
        };
        let parameter = |name: &str| {
            let mut all = query.split('&').filter_map(|it| it.split_once('='));
            all.find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let body = String::from_utf8_lossy(&call.body).into_owned();
        match (call.first[0].as_str(), rest.split_once('/')) {
            ("GET", None) => match parameter("watch") {
                Some(after) => {
                    let wait = parameter("waitMs")
                        .and_then(|it| it.parse().ok())
                        .unwrap_or(0);
                    self.watch(rest, after.parse().unwrap_or(0), wait)
                }
                None => self.list(rest, &parameter("after").unwrap_or_default()),
            },
            ("POST", None) => {
                let meta = json::field(&body, "meta").unwrap_or("{}");
                let name = json::unquote(json::field(meta, "name").unwrap_or("")).to_owned();
                let key = (rest.to_owned(), name.clone());
                if self.state.0.lock().unwrap().objects.contains_key(&key) {
                    return (409, "{}".into());
                }
                self.put(rest, &name, json::field(&body, "spec").unwrap_or("null"));
                (200, body)
            }
            (method @ ("PUT" | "DELETE"), Some((kind, name))) => {
                let meta = json::field(&body, "meta").unwrap_or("{}");
                let wanted = match method {
                    "PUT" => json::field(meta, "revision").map(str::to_owned),
                    _ => parameter("revision"),
                };
                let key = (kind.to_owned(), name.to_owned());
                let known = self.state.0.lock().unwrap().objects.get(&key).cloned();
                let Some(known) = known else {
                    return (404, "{}".into());
                };
                if wanted.is_some_and(|it| it != known.revision.to_string()) {
                    return (409, object(name, &known));
                }
                match method {
                    "PUT" => {
                        self.put(kind, name, json::field(&body, "spec").unwrap_or("null"));
                    }
                    _ => self.remove(kind, name),
                }
                (200, object(name, &known))
            }
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((it, _), _)| it == kind);
        let items = of_kind.filter(|((_, name), _)| name.as_str() > after);
        let items: Vec<String> = items.map(|((_, name), it)| object(name, it)).collect();
        let items = items.join(",");
        let revision = state.revision;
        (
            200,
            format!(r#"{{"items":[{items}],"hasMore":false,"asOf":{revision}}}"#),
        )
    }

    /// Waits for changes of a kind after a revision.
    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(at, it, ..)| *at > after && it == kind);
            let events: Vec<String> = changes
                .map(|(at, _, name, it)| match it {
                    Some(it) => format!(r#"{{"deleted":false,"object":{}}}"#, object(name, it)),
                    None => format!(
                        r#"{{"deleted":true,"object":{{"meta":{{"name":"{name}","revision":{at}}},"spec":null,"status":null}}}}"#
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"asOf":{revision}}}"#));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(name: &str, object: &Object) -> String {
    let Object {
        spec,
        revision,
        created,
    } = object;
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{revision},"created":{created},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}
