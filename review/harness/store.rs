//! Stand-in for the platform's metadata store, as the page PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::json::Json;

/// Objects in one page of a list, at most.
const PAGE_OBJECTS: usize = 500;

/// Bytes in one page of a list, at most.
const PAGE_BYTES: usize = 1_000_000;

/// Time after which the store closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    /// Kind, revision, and the event as it is sent.
    history: Vec<(String, u64, String)>,
}

/// Call of a process of the system.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: Instant,
    pub from: String,
    pub what: String,
}

/// The store; clones share their objects.
#[derive(Clone, Debug, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    calls: Arc<Mutex<Vec<Call>>>,
}

fn event_json(kind_name: &str, object: &Object, removed: bool) -> String {
    format!("{{\"removed\":{removed},\"object\":{}}}", object_json(kind_name, object))
}

fn object_json(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
        json::quote(name),
        object.revision,
        object.created,
        object.spec,
        object.status
    )
}

fn decode_name(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        let code = code.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Store {
    /// Serves the store for one process on a port of its own. `rewrite` replaces a text in the
    /// bodies that the process sends, so that others reach it through a proxy.
    pub fn listen(&self, from: &str, rewrite: Option<(String, String)>) -> SocketAddr {
        let listener = http::bind();
        let addr = listener.local_addr().expect("a bound address");
        let (store, from) = (self.clone(), from.to_owned());
        http::serve(listener, move |stream| store.serve(stream, &from, rewrite.as_ref()));
        addr
    }

    fn serve(&self, mut stream: TcpStream, from: &str, rewrite: Option<&(String, String)>) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        while let Ok(Some(mut req)) = http::read_message(&mut reader, false) {
            if let Some((old, new)) = rewrite {
                req.body = req.text().replace(old.as_str(), new).into_bytes();
            }
            self.calls.lock().expect("calls").push(Call {
                at: Instant::now(),
                from: from.to_owned(),
                what: format!("{} {}", req.method(), req.line[1]),
            });
            let (status, body) = self.answer(&req);
            if http::respond(&mut stream, status, "", &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let Some(path) = req.path().strip_prefix("/api/objects/") else {
            return (404, "{}".to_owned());
        };
        let mut words = path.split('/');
        let kind = words.next().unwrap_or_default().to_owned();
        let name = words.next().map(decode_name);
        let is_status = words.next() == Some("status");
        let body = Json::parse(&req.text()).unwrap_or(Json::Null);
        match (req.method(), name) {
            ("GET", None) => match req.param("watch").and_then(|text| text.parse().ok()) {
                Some(after) => self.watch(&kind, after, req),
                None => self.list(&kind, &req.param("after").map(decode_name).unwrap_or_default()),
            },
            ("GET", Some(name)) => self.get(&kind, &name),
            ("POST", None) => {
                let name = body.get("metadata").get("name").text().unwrap_or_default().to_owned();
                self.create(&kind, &name, body.get("spec").to_string())
            }
            ("PUT", Some(name)) => {
                let revision = body.get("metadata").get("revision").number();
                let (field, value) = if is_status {
                    ("status", body.get("status").to_string())
                } else {
                    ("spec", body.get("spec").to_string())
                };
                self.replace(&kind, &name, revision, field, value)
            }
            ("DELETE", Some(name)) => self.remove(&kind, &name),
            _ => (400, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().expect("state");
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (name, object) in state.kinds.get(kind).into_iter().flatten() {
            if name.as_str() <= after {
                continue;
            }
            if items.len() >= PAGE_OBJECTS || bytes >= PAGE_BYTES {
                more = true;
                break;
            }
            let text = object_json(name, object);
            bytes += text.len();
            items.push(text);
        }
        let text = format!(
            "{{\"items\":[{}],\"more\":{more},\"store-revision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, text)
    }

    fn watch(&self, kind: &str, after: u64, req: &Message) -> (u16, String) {
        let wait = req.param("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().expect("state");
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(of, revision, _)| of == kind && *revision > after)
                .map(|(_, _, event)| event.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"store-revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            state = self.shared.1.wait_timeout(state, left).expect("state").0;
        }
    }

    /// Returns an object as it is sent.
    pub fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.shared.0.lock().expect("state");
        match state.kinds.get(kind).and_then(|objects| objects.get(name)) {
            Some(object) => (200, object_json(name, object)),
            None => (404, "{}".to_owned()),
        }
    }

    fn change(&self, state: &mut State, kind: &str, name: &str, mut object: Object) -> String {
        state.revision += 1;
        object.revision = state.revision;
        let event = event_json(name, &object, false);
        let text = object_json(name, &object);
        state.history.push((kind.to_owned(), state.revision, event));
        state.kinds.entry(kind.to_owned()).or_default().insert(name.to_owned(), object);
        self.shared.1.notify_all();
        text
    }

    /// Creates an object.
    pub fn create(&self, kind: &str, name: &str, spec: String) -> (u16, String) {
        let mut state = self.shared.0.lock().expect("state");
        let known = state.kinds.get(kind).and_then(|objects| objects.get(name));
        if let Some(object) = known {
            return (409, object_json(name, object));
        }
        let created = state.revision + 1;
        let object = Object { revision: 0, created, spec, status: "null".to_owned() };
        (201, self.change(&mut state, kind, name, object))
    }

    fn replace(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        field: &str,
        value: String,
    ) -> (u16, String) {
        let mut state = self.shared.0.lock().expect("state");
        let known = state.kinds.get(kind).and_then(|objects| objects.get(name)).cloned();
        let Some(mut object) = known else { return (404, "{}".to_owned()) };
        if revision.is_some_and(|revision| revision != object.revision) {
            return (409, object_json(name, &object));
        }
        let place = if field == "status" { &mut object.status } else { &mut object.spec };
        if *place == value {
            return (200, object_json(name, &object));
        }
        *place = value;
        (200, self.change(&mut state, kind, name, object))
    }

    /// Creates or replaces an object, as another writer.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        if self.create(kind, name, spec.to_owned()).0 == 409 {
            self.replace(kind, name, None, "spec", spec.to_owned());
        }
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> (u16, String) {
        let mut state = self.shared.0.lock().expect("state");
        let removed = state.kinds.get_mut(kind).and_then(|objects| objects.remove(name));
        let Some(mut object) = removed else { return (404, "{}".to_owned()) };
        state.revision += 1;
        object.revision = state.revision;
        let event = event_json(name, &object, true);
        let revision = state.revision;
        state.history.push((kind.to_owned(), revision, event));
        self.shared.1.notify_all();
        (200, "{}".to_owned())
    }

    /// Returns the calls of all processes so far.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("calls").clone()
    }
}
