//! Stand-in of the platform's metadata store, in the process of the test.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::percent_decode;
use crate::http::reply;
use crate::http::serve;
use crate::json::member;
use crate::json::member_number;
use crate::json::member_string;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            r#"{{"metadata":{{"name":"{name}","revision":{},"created":{},"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
            self.revision, self.created, self.spec, self.status
        )
    }
}

struct Event {
    revision: u64,
    kind: String,
    json: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The store. Its answers are linearizable, and it loses nothing.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

const JSON: &str = "Content-Type: application/json\r\n";

impl Store {
    pub fn start() -> (Self, String) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address").to_string();
        let served = store.clone();
        serve(listener, move |request, out| served.handle(request, out).map(|()| true));
        (store, addr)
    }

    fn handle(&self, request: &Request, out: &mut TcpStream) -> io::Result<()> {
        let Some(path) = request.path().strip_prefix("/api/objects/") else {
            return reply(out, "404 Not Found", "", b"");
        };
        let mut words = path.split('/').map(percent_decode);
        let kind = words.next().unwrap_or_default();
        let name = words.next();
        let is_status = words.next().is_some();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (status, text) = match (request.method.as_str(), name) {
            ("GET", None) => match request.query("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = request.query("wait-ms").and_then(|text| text.parse().ok());
                    self.watch(&kind, after, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(&kind, request.query("after")),
            },
            ("GET", Some(name)) => self.get(&kind, &name),
            ("POST", None) => self.create(&kind, &body),
            ("PUT", Some(name)) => self.put(&kind, &name, is_status, &body),
            ("DELETE", Some(name)) => self.delete(&kind, &name),
            _ => ("405 Method Not Allowed", String::new()),
        };
        reply(out, status, JSON, text.as_bytes())
    }

    fn list(&self, kind: &str, after: Option<String>) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let after = after.unwrap_or_default();
        let items: Vec<String> = state
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && *name > after)
            .map(|((_, name), object)| object.json(name))
            .collect();
        let text = format!(
            r#"{{"items":[{}],"more":false,"store-revision":{}}}"#,
            items.join(","),
            state.revision
        );
        ("200 OK", text)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.kind == kind)
                .map(|event| event.json.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    r#"{{"events":[{}],"store-revision":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return ("200 OK", text);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn get(&self, kind: &str, name: &str) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => ("200 OK", object.json(name)),
            None => ("404 Not Found", String::new()),
        }
    }

    fn create(&self, kind: &str, body: &str) -> (&'static str, String) {
        let metadata = member(body, "metadata").unwrap_or("{}");
        let name = member_string(metadata, "name");
        let spec = member(body, "spec").unwrap_or("null").to_owned();
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.clone());
        if let Some(object) = state.objects.get(&key) {
            return ("409 Conflict", object.json(&name));
        }
        let revision = state.revision + 1;
        let object = Object { revision, created: revision, spec, status: "null".to_owned() };
        ("201 Created", self.store(&mut state, key, object))
    }

    fn put(&self, kind: &str, name: &str, is_status: bool, body: &str) -> (&'static str, String) {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.get(&key).cloned() else {
            return ("404 Not Found", String::new());
        };
        let expected = member(body, "metadata").and_then(|text| member_number(text, "revision"));
        if expected.is_some_and(|expected| expected != object.revision) {
            return ("409 Conflict", object.json(name));
        }
        let mut next = object.clone();
        let field = if is_status { "status" } else { "spec" };
        let value = member(body, field).unwrap_or("null").to_owned();
        *(if is_status { &mut next.status } else { &mut next.spec }) = value;
        if next.spec == object.spec && next.status == object.status {
            return ("200 OK", object.json(name));
        }
        next.revision = state.revision + 1;
        ("200 OK", self.store(&mut state, key, next))
    }

    fn store(&self, state: &mut State, key: (String, String), object: Object) -> String {
        let json = object.json(&key.1);
        state.revision = object.revision;
        let event = format!(r#"{{"removed":false,"object":{json}}}"#);
        state.events.push(Event { revision: object.revision, kind: key.0.clone(), json: event });
        state.objects.insert(key, object);
        self.state.1.notify_all();
        json
    }

    fn delete(&self, kind: &str, name: &str) -> (&'static str, String) {
        let mut state = self.state.0.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return ("404 Not Found", String::new());
        };
        state.revision += 1;
        let json = object.json(name);
        let revision = state.revision;
        let event = format!(r#"{{"removed":true,"object":{json}}}"#);
        state.events.push(Event { revision, kind: kind.to_owned(), json: event });
        self.state.1.notify_all();
        ("200 OK", json)
    }

    /// Writes an object as the operator or a worker does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let body = format!(r#"{{"metadata":{{"name":"{name}"}},"spec":{spec}}}"#);
        if self.create(kind, &body).0.starts_with("409") {
            self.put(kind, name, false, &body);
        }
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.delete(kind, name);
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let keys = state.objects.keys().filter(|(of, _)| of == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }
}
