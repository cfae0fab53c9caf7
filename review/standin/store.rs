//! Stand-in for the platform's store: lists, watches and conditional writes as PROTOCOL.md says.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{Json, quote},
};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Changes: revision, kind, and the event as JSON.
    events: Vec<(u64, String, String)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn render(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        quote(name),
        object.revision,
        object.created,
        object.spec.write()
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Json) {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        if known.is_some_and(|it| it.spec == spec) {
            return;
        }
        let created = known.map(|it| it.created);
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            created: created.unwrap_or(self.revision),
            spec,
        };
        let event = format!("{{\"deleted\":false,\"object\":{}}}", render(name, &object));
        self.events.push((self.revision, kind.into(), event));
        self.objects.insert(key, object);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        if let Some(mut object) = removed {
            self.revision += 1;
            object.revision = self.revision;
            let event = format!("{{\"deleted\":true,\"object\":{}}}", render(name, &object));
            self.events.push((self.revision, kind.into(), event));
        }
    }
}

impl Store {
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        self.0.0.lock().unwrap().revision = 100;
        let store = self.clone();
        http::serve(listener, move |mut conn| {
            while let Ok(Some(request)) = conn.read(false) {
                let (status, body) = store.answer(&request);
                let line = format!("HTTP/1.1 {status} {}", if status < 300 { "OK" } else { "No" });
                let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
                if conn.write(&line, &headers, body.as_bytes()).is_err() {
                    return;
                }
            }
        });
        address
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::read(spec).expect("valid JSON");
        self.0.0.lock().unwrap().put(kind, name, spec);
        self.0.1.notify_all();
    }

    /// Writes an object whose text is kept as it is.
    pub fn put_text(&self, kind: &str, name: &str, spec: &str) {
        self.0.0.lock().unwrap().put(kind, name, Json::Num(spec.into()));
        self.0.1.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return (404, "{}".into());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let param = |wanted: &str| {
            let mut all = query.split('&').filter_map(|it| it.split_once('='));
            all.find(|(name, _)| *name == wanted).map(|(_, value)| value.to_owned())
        };
        let number = |wanted: &str| param(wanted).and_then(|it| it.parse::<u64>().ok());
        if request.method() == "GET" {
            if let Some(after) = number("watch") {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                return self.watch(kind, after, wait);
            }
            let state = self.0.0.lock().unwrap();
            if let Some(name) = name {
                let found = state.objects.get(&(kind.to_owned(), name.to_owned()));
                return match found {
                    Some(object) => (200, render(name, object)),
                    None => (404, "{}".into()),
                };
            }
            let after = param("after").unwrap_or_default();
            let all = state.objects.iter();
            let all = all.filter(|((it, name), _)| it == kind && *name > after);
            let items: Vec<String> = all.map(|((_, name), it)| render(name, it)).collect();
            let has_more = items.len() > 500;
            let items = items[..items.len().min(500)].join(",");
            let as_of = state.revision;
            let body = format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"asOf\":{as_of}}}");
            return (200, body);
        }
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::read(&text).unwrap_or(Json::Null);
        let meta = body.get("meta").cloned().unwrap_or(Json::Null);
        let name = match name {
            Some(name) => name.to_owned(),
            None => match meta.get("name").and_then(Json::as_str) {
                Some(name) => name.to_owned(),
                None => return (400, "{}".into()),
            },
        };
        let wanted = meta.get("revision").and_then(Json::as_u64).or(number("revision"));
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let mut state = self.0.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let is_stale = match (&known, wanted) {
            (Some(known), Some(wanted)) => known.revision != wanted,
            _ => false,
        };
        let result = match (request.method(), &known) {
            ("POST", Some(known)) => (409, render(&name, known)),
            (_, Some(known)) if is_stale => (409, render(&name, known)),
            ("POST", None) => {
                state.put(kind, &name, spec);
                (200, "{}".into())
            }
            ("PUT", Some(_)) => {
                state.put(kind, &name, spec);
                (200, "{}".into())
            }
            ("DELETE", Some(_)) => {
                state.remove(kind, &name);
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        };
        drop(state);
        self.0.1.notify_all();
        result
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let new = state.events.iter();
            let new = new.filter(|(revision, it, _)| *revision > after && it == kind);
            let events: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"));
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
