//! Stand-in for the platform's store: lists, watches, conditional writes. Contents are kept as the
//! text that was written, so that it hands out entries of other writers byte for byte.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Request};

#[derive(Clone)]
struct Object {
    spec: Vec<u8>,
    revision: u64,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<(u64, String, String, Object)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves the store; returns its address.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        http::serve(listener, move |req, stream| store.answer(req, stream));
        address
    }

    /// Writes an object as its owner does; returns the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) -> Instant {
        self.write(kind, name, Some(spec));
        Instant::now()
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.write(kind, name, None);
    }

    fn write(&self, kind: &str, name: &str, spec: Option<&[u8]>) {
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().expect("no panic");
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).map(|it| it.spec.clone());
        if known.as_deref() == spec {
            return;
        }
        state.revision += 1;
        let object = Object {
            spec: spec.unwrap_or(b"null").to_vec(),
            revision: state.revision,
            deleted: spec.is_none(),
        };
        let change = (
            object.revision,
            key.0.clone(),
            key.1.clone(),
            object.clone(),
        );
        state.history.push(change);
        match object.deleted {
            true => state.objects.remove(&key),
            false => state.objects.insert(key, object),
        };
        changed.notify_all();
    }

    fn answer(&self, req: &Request, stream: &mut TcpStream) -> bool {
        let (status, body) = self.reply(req);
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        stream
            .write_all(&http::encode(status, &headers, &body))
            .is_ok()
    }

    fn reply(&self, req: &Request) -> (u16, Vec<u8>) {
        let (lock, changed) = &*self.0;
        let path = req.target.split('?').next().unwrap_or("");
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return (404, Vec::new());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let mut state = lock.lock().expect("no panic");
        let is_watch = req.query("watch").is_some();
        let find = |state: &State, name: &str| {
            let key = (kind.to_owned(), name.to_owned());
            state.objects.get(&key).cloned()
        };
        let expected = |body: &[u8]| -> Option<u64> {
            let meta = field(body, "meta").map(|it| field(it, "revision").map(text));
            let number = meta.flatten().or(req.query("revision").map(str::to_owned));
            number.and_then(|it| it.parse().ok())
        };
        match (req.method.as_str(), name) {
            ("POST", None) => {
                let Some(name) = field(&req.body, "meta").and_then(|it| field(it, "name")) else {
                    return (400, Vec::new());
                };
                let name = text(name).trim_matches('"').to_owned();
                if let Some(known) = find(&state, &name) {
                    return (409, object_json(&name, &known));
                }
                drop(state);
                self.write(
                    kind,
                    &name,
                    Some(field(&req.body, "spec").unwrap_or(b"null")),
                );
                (200, req.body.clone())
            }
            ("PUT" | "DELETE", Some(name)) => {
                let Some(known) = find(&state, name) else {
                    return (404, Vec::new());
                };
                if expected(&req.body).is_some_and(|it| it != known.revision) {
                    return (409, object_json(name, &known));
                }
                drop(state);
                let spec = (req.method == "PUT")
                    .then(|| field(&req.body, "spec"))
                    .flatten();
                self.write(kind, name, spec);
                (200, object_json(name, &known))
            }
            ("GET", Some(name)) => match find(&state, name) {
                Some(known) => (200, object_json(name, &known)),
                None => (404, Vec::new()),
            },
            ("GET", None) if is_watch => {
                let number = |name| req.query(name).and_then(|it| it.parse::<u64>().ok());
                let after = number("watch").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                loop {
                    let of_kind = state.history.iter();
                    let of_kind = of_kind.filter(|(at, it, ..)| *at > after && it == kind);
                    let events: Vec<Vec<u8>> = of_kind
                        .map(|(_, _, name, object)| {
                            let head = format!("{{\"deleted\":{},\"object\":", object.deleted);
                            let mut event = head.into_bytes();
                            event.extend(object_json(name, object));
                            event.push(b'}');
                            event
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let mut body = b"{\"events\":[".to_vec();
                        body.extend(events.join(&b","[..]));
                        body.extend(format!("],\"asOf\":{}}}", state.revision).bytes());
                        return (200, body);
                    }
                    state = changed.wait_timeout(state, left).expect("no panic").0;
                }
            }
            ("GET", None) => {
                let after = req.query("after").unwrap_or("");
                let items: Vec<Vec<u8>> = state
                    .objects
                    .iter()
                    .filter(|((it, name), _)| it == kind && name.as_str() > after)
                    .map(|((_, name), object)| object_json(name, object))
                    .collect();
                let mut body = b"{\"items\":[".to_vec();
                body.extend(items.join(&b","[..]));
                body.extend(format!("],\"hasMore\":false,\"asOf\":{}}}", state.revision).bytes());
                (200, body)
            }
            _ => (404, Vec::new()),
        }
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn object_json(name: &str, object: &Object) -> Vec<u8> {
    let meta = format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":",
        object.revision
    );
    let mut out = meta.into_bytes();
    out.extend_from_slice(&object.spec);
    out.extend_from_slice(b",\"status\":null}");
    out
}

/// Returns the text of a field of a JSON object.
fn field<'a>(json: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut at = skip_space(json, 0);
    if json.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(json, at);
        let key_end = skip_value(json, at)?;
        let key = json.get(at + 1..key_end - 1)?;
        let start = skip_space(json, skip_space(json, key_end) + 1);
        let end = skip_value(json, start)?;
        if key == name.as_bytes() {
            return json.get(start..end);
        }
        at = skip_space(json, end) + 1;
        if json.get(at - 1) != Some(&b',') {
            return None;
        }
    }
}

fn skip_space(json: &[u8], mut at: usize) -> usize {
    while json.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the end of the value that begins at a position.
fn skip_value(json: &[u8], start: usize) -> Option<usize> {
    let (mut at, mut depth) = (start, 0);
    loop {
        match *json.get(at)? {
            b'"' => {
                at += 1;
                while *json.get(at)? != b'"' {
                    at += if json[at] == b'\\' { 2 } else { 1 };
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth > 0 => depth -= 1,
            b',' | b'}' | b']' | b':' if depth == 0 => return Some(at),
            _ => {}
        }
        at += 1;
        let is_end = json
            .get(at)
            .is_none_or(|it| b",}]:".contains(it) || it.is_ascii_whitespace());
        if depth == 0 && is_end {
            return Some(at);
        }
    }
}
