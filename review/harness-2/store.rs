//! The platform's store: objects of all kinds in memory, served as PROTOCOL.md tells.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_body;
use crate::http::read_head;
use crate::json;

#[derive(Clone)]
struct Object {
    /// Name as it is sent, which may hold bytes that are no UTF-8.
    name: Vec<u8>,
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn encode(&self) -> Vec<u8> {
        let mut out = b"{\"metadata\":{\"name\":\"".to_vec();
        out.extend_from_slice(&self.name);
        out.extend_from_slice(
            format!(
                "\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
                self.revision, self.created, self.spec, self.status
            )
            .as_bytes(),
        );
        out
    }
}

struct Event {
    revision: u64,
    kind: String,
    removed: bool,
    object: Object,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, Vec<u8>), Object>,
    events: Vec<Event>,
}

/// Handle of the store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = Self { state: Arc::new((Mutex::default(), Condvar::new())), addr };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Creates an object or replaces its specification, as the operator and the workers do.
    pub fn put(&self, kind: &str, name: &[u8], spec: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        let old = state.objects.get(&(kind.to_owned(), name.to_vec())).cloned();
        state.write(kind, name, old, Some(spec), None);
        changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &[u8]) {
        let (state, changed) = &*self.state;
        state.lock().expect("the state").remove(kind, name);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let mut body = Vec::new();
            if !read_body(&mut reader, &head, false, &mut body) {
                return;
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.handle(head.word(0), head.word(1), &body);
            let mut out = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            )
            .into_bytes();
            out.extend_from_slice(&answer);
            if writer.write_all(&out).is_err() {
                return;
            }
        }
    }

    fn handle(&self, method: &str, target: &str, body: &str) -> (u16, Vec<u8>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)
        };
        let mut parts = path.trim_start_matches("/api/objects/").split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(decode_name);
        let is_status = parts.next() == Some("status");
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("the state");
        match (method, name) {
            ("GET", None) => {
                if let Some((_, from)) = param("watch") {
                    let from = from.parse().unwrap_or(0);
                    let wait = param("wait-ms").and_then(|(_, ms)| ms.parse().ok()).unwrap_or(0);
                    let until = Instant::now() + Duration::from_millis(wait);
                    loop {
                        let left = until.saturating_duration_since(Instant::now());
                        if state.has_events(&kind, from) || left.is_zero() {
                            return (200, state.events_after(&kind, from));
                        }
                        state = changed.wait_timeout(state, left).expect("the state").0;
                    }
                }
                let after = param("after").map(|(_, name)| decode_name(name)).unwrap_or_default();
                (200, state.list(&kind, &after))
            }
            ("GET", Some(name)) => match state.objects.get(&(kind, name)) {
                Some(object) => (200, object.encode()),
                None => (404, b"{}".to_vec()),
            },
            ("POST", None) => {
                let metadata = json::field(body, "metadata").unwrap_or_default();
                let name = json::string(metadata, "name").unwrap_or_default().into_bytes();
                if let Some(object) = state.objects.get(&(kind.clone(), name.clone())) {
                    return (409, object.encode());
                }
                let spec = json::field(body, "spec").unwrap_or("null");
                let object = state.write(&kind, &name, None, Some(spec), None);
                changed.notify_all();
                (201, object)
            }
            ("PUT", Some(name)) => {
                let key = (kind.clone(), name.clone());
                let Some(old) = state.objects.get(&key).cloned() else {
                    return (404, b"{}".to_vec());
                };
                let metadata = json::field(body, "metadata").unwrap_or_default();
                let wanted = json::field(metadata, "revision").and_then(|text| text.parse().ok());
                if wanted.is_some_and(|wanted: u64| wanted != old.revision) {
                    return (409, old.encode());
                }
                let (spec, status) = if is_status {
                    (None, json::field(body, "status"))
                } else {
                    (json::field(body, "spec"), None)
                };
                let object = state.write(&kind, &name, Some(old), spec, status);
                changed.notify_all();
                (200, object)
            }
            ("DELETE", Some(name)) => {
                let is_known = state.remove(&kind, &name);
                changed.notify_all();
                (if is_known { 200 } else { 404 }, b"{}".to_vec())
            }
            _ => (400, b"{}".to_vec()),
        }
    }
}

impl State {
    fn write(
        &mut self,
        kind: &str,
        name: &[u8],
        old: Option<Object>,
        spec: Option<&str>,
        status: Option<&str>,
    ) -> Vec<u8> {
        let is_new = old.is_none();
        let mut object = old.unwrap_or(Object {
            name: name.to_vec(),
            revision: 0,
            created: 0,
            spec: "null".to_owned(),
            status: "null".to_owned(),
        });
        let before = (object.spec.clone(), object.status.clone());
        if let Some(spec) = spec {
            spec.clone_into(&mut object.spec);
        }
        if let Some(status) = status {
            status.clone_into(&mut object.status);
        }
        if !is_new && before == (object.spec.clone(), object.status.clone()) {
            return object.encode();
        }
        self.revision += 1;
        object.revision = self.revision;
        if is_new {
            object.created = self.revision;
        }
        let encoded = object.encode();
        self.objects.insert((kind.to_owned(), name.to_vec()), object.clone());
        let revision = self.revision;
        self.events.push(Event { revision, kind: kind.to_owned(), removed: false, object });
        encoded
    }

    fn remove(&mut self, kind: &str, name: &[u8]) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_vec())) else {
            return false;
        };
        self.revision += 1;
        let revision = self.revision;
        self.events.push(Event { revision, kind: kind.to_owned(), removed: true, object });
        true
    }

    fn list(&self, kind: &str, after: &[u8]) -> Vec<u8> {
        let found = self.objects.iter().filter(|((of, name), _)| of == kind && &**name > after);
        let items: Vec<Vec<u8>> = found.map(|(_, object)| object.encode()).collect();
        let mut out = b"{\"items\":[".to_vec();
        out.extend(items.join(&b","[..]));
        let end = format!("],\"more\":false,\"store-revision\":{}}}", self.revision);
        out.extend_from_slice(end.as_bytes());
        out
    }

    fn has_events(&self, kind: &str, from: u64) -> bool {
        self.events.iter().rev().take_while(|event| event.revision > from).any(|e| e.kind == kind)
    }

    fn events_after(&self, kind: &str, from: u64) -> Vec<u8> {
        let new = self.events.iter().filter(|event| event.revision > from && event.kind == kind);
        let events: Vec<Vec<u8>> = new
            .map(|event| {
                let mut out = format!("{{\"removed\":{},\"object\":", event.removed).into_bytes();
                out.extend(event.object.encode());
                out.push(b'}');
                out
            })
            .collect();
        let mut out = b"{\"events\":[".to_vec();
        out.extend(events.join(&b","[..]));
        out.extend_from_slice(format!("],\"store-revision\":{}}}", self.revision).as_bytes());
        out
    }
}

/// Decodes percent-encoded bytes.
fn decode_name(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match hex.filter(|_| bytes[index] == b'%') {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    out
}
