//! The object store: lists, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use compio::{net::TcpListener, time::sleep};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::{
    reply::{self, Abort, Reply},
    server::{Connections, Handler, Server, serve},
};

/// Interval at which a waiting watch looks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Connections that the store takes.
const MAX_CONNECTIONS: usize = 256;

#[derive(Clone, Debug)]
struct Object {
    spec: Value,
    revision: u64,
}

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It answers.
    #[default]
    Sound,
    /// It answers 503.
    Down,
    /// It does not answer at all.
    Silent,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Changes in order: revision, kind, name, and what was written; `None` is a removal.
    history: Vec<(u64, String, String, Option<Value>)>,
    /// Revision from which on changes are kept.
    kept_from: u64,
    calls: Vec<String>,
    availability: Availability,
    /// Whether watches are not told of the next change.
    hides_next: bool,
}

/// A handle of the store; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Starts to serve the store on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the thread or its listener can't be made.
    pub fn serve(&self) -> Result<Server, crate::server::Error> {
        let store = self.clone();
        Server::spawn(move || async move {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let handler = Rc::new(Front {
                store,
                connections: Connections::new(MAX_CONNECTIONS),
            });
            compio::runtime::spawn(serve(listener, handler)).detach();
            Ok::<Vec<SocketAddr>, io::Error>(vec![address])
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object; one that stays the same gets no new revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        if state
            .objects
            .get(&key)
            .is_some_and(|object| object.spec == spec)
        {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        if !std::mem::take(&mut state.hides_next) {
            let change = (revision, key.0.clone(), key.1.clone(), Some(spec.clone()));
            state.history.push(change);
        }
        state.objects.insert(key, Object { spec, revision });
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state();
        if state
            .objects
            .remove(&(kind.to_owned(), name.to_owned()))
            .is_some()
        {
            state.revision += 1;
            let revision = state.revision;
            state
                .history
                .push((revision, kind.to_owned(), name.to_owned(), None));
        }
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state();
        let of_kind = state.objects.keys().filter(|(of, _)| of == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Drops the history of changes.
    pub fn compact(&self) {
        let mut state = self.state();
        state.kept_from = state.revision + 1;
        state.history.clear();
    }

    /// Has watches not be told of the next change.
    pub fn withhold_next_change(&self) {
        self.state().hides_next = true;
    }

    /// Changes how the store treats calls, waiting ones included.
    pub fn set_availability(&self, availability: Availability) {
        self.state().availability = availability;
    }

    /// Returns method and path of the calls so far.
    pub fn calls(&self) -> Vec<String> {
        self.state().calls.clone()
    }

    fn list(&self, kind: &str, after: &str) -> Reply {
        let state = self.state();
        let items = state
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), object)| shown(name, Some(&object.spec), object.revision));
        let items: Vec<Value> = items.collect();
        let list = json!({"items": items, "hasMore": false, "asOf": state.revision});
        reply::json(StatusCode::OK, &list)
    }

    fn changes(&self, kind: &str, after: u64) -> Option<Reply> {
        let state = self.state();
        if state.availability == Availability::Down {
            return Some(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        if after + 1 < state.kept_from {
            return Some(reply::empty(StatusCode::GONE));
        }
        let news = state
            .history
            .iter()
            .filter(|(at, of, ..)| *at > after && of == kind);
        let events: Vec<Value> = news
            .map(|(at, _, name, spec)| {
                json!({"deleted": spec.is_none(), "object": shown(name, spec.as_ref(), *at)})
            })
            .collect();
        if events.is_empty() || state.availability == Availability::Silent {
            return None;
        }
        let changes = json!({"events": events, "asOf": state.revision});
        Some(reply::json(StatusCode::OK, &changes))
    }
}

fn shown(name: &str, spec: Option<&Value>, revision: u64) -> Value {
    json!({
        "meta": {"name": name, "revision": revision, "created": 1, "finalizers": [],
            "deleting": false},
        "spec": spec, "status": null,
    })
}

struct Front {
    store: Store,
    connections: Connections,
}

impl Handler for Front {
    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, _first: bool, req: Request<Incoming>) -> Result<Reply, Abort> {
        let (head, body) = req.into_parts();
        let path = head.uri.path().to_owned();
        let query = head.uri.query().unwrap_or("").to_owned();
        self.store
            .state()
            .calls
            .push(format!("{} {path}?{query}", head.method));
        let availability = self.store.state().availability;
        match availability {
            Availability::Sound => {}
            Availability::Down => return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE)),
            Availability::Silent => {
                while self.store.state().availability == Availability::Silent {
                    sleep(WATCH_INTERVAL).await;
                }
                return Err(Abort);
            }
        }
        let Some(kind) = path.strip_prefix("/-/objects/") else {
            return Ok(reply::empty(StatusCode::NOT_FOUND));
        };
        if head.method == Method::POST {
            return self.create(kind, body).await;
        }
        if let Some((kind, name)) = kind.split_once('/') {
            return self.change(&head, kind, name, body).await;
        }
        let field = |name: &str| {
            let items = query.split('&').filter_map(|item| item.split_once('='));
            let mut found = items.filter(|(key, _)| *key == name);
            found.next().map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        match number("watch") {
            Some(after) => {
                let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                while Instant::now() < end {
                    if let Some(reply) = self.store.changes(kind, after) {
                        return Ok(reply);
                    }
                    sleep(WATCH_INTERVAL).await;
                }
                let revision = self.store.state().revision;
                let nothing = json!({"events": [], "asOf": revision});
                Ok(reply::json(StatusCode::OK, &nothing))
            }
            None => Ok(self.store.list(kind, &field("after").unwrap_or_default())),
        }
    }
}

impl Front {
    /// Replaces or removes an object that has the revision which the call names.
    async fn change(
        &self,
        head: &http::request::Parts,
        kind: &str,
        name: &str,
        body: Incoming,
    ) -> Result<Reply, Abort> {
        let body = reply::read_body(body, 1 << 20).await?.unwrap_or_default();
        let key = (kind.to_owned(), name.to_owned());
        let present = self.store.state().objects.get(&key).cloned();
        let Some(present) = present else {
            return Ok(reply::empty(StatusCode::NOT_FOUND));
        };
        let shown = shown(name, Some(&present.spec), present.revision);
        let (object, expected) = if head.method == Method::PUT {
            let Ok(object) = serde_json::from_slice::<Value>(&body) else {
                return Ok(reply::empty(StatusCode::BAD_REQUEST));
            };
            let expected = object["meta"]["revision"].as_u64();
            (Some(object), expected)
        } else {
            let query = head.uri.query().unwrap_or_default();
            let expected = query
                .split('&')
                .find_map(|item| item.strip_prefix("revision="));
            (None, expected.and_then(|text| text.parse().ok()))
        };
        if expected.is_some_and(|expected| expected != present.revision) {
            return Ok(reply::json(StatusCode::CONFLICT, &shown));
        }
        match object {
            Some(object) => self.store.put(kind, name, object["spec"].clone()),
            None => self.store.remove(kind, name),
        }
        Ok(reply::json(StatusCode::OK, &shown))
    }

    async fn create(&self, kind: &str, body: Incoming) -> Result<Reply, Abort> {
        let body = reply::read_body(body, 1 << 20).await?.unwrap_or_default();
        let Ok(object) = serde_json::from_slice::<Value>(&body) else {
            return Ok(reply::empty(StatusCode::BAD_REQUEST));
        };
        let name = object["meta"]["name"].as_str().unwrap_or_default();
        let key = (kind.to_owned(), name.to_owned());
        if self.store.state().objects.contains_key(&key) {
            return Ok(reply::empty(StatusCode::CONFLICT));
        }
        self.store.put(kind, name, object["spec"].clone());
        Ok(reply::json(StatusCode::OK, &object))
    }
}
