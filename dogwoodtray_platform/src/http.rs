//! Store client over HTTP.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::addr::listening_addr;
use crate::budget::BudgetConfig;
use crate::budget::CallBudget;
use crate::json_text::decode_json;
use crate::json_text::has_unreadable_bytes;
use crate::store::BoxFuture;
use crate::store::Store;
use crate::store::VmEntry;
use crate::store::WatchReply;

/// Time that callers are told to wait before they retry a failed call.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time beyond the wait time of a watch after which the watch fails.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Maximum size of an answer. An object has 1 MB at most, and the list of VMs far less than this limit.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Settings of [`HttpStore`].
#[derive(Clone, Debug)]
pub struct HttpStoreConfig {
    /// IP address and port of the object API.
    pub addr: String,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Maximum delay by the budget; calls with a longer delay are rejected.
    pub max_budget_wait: Duration,
    /// Share of the platform's rates that this process may use.
    pub budget: BudgetConfig,
}

impl HttpStoreConfig {
    /// Creates settings with default limits.
    #[must_use]
    pub fn new(addr: impl Into<String>) -> Self {
        Self {
            addr: addr.into(),
            timeout: Duration::from_secs(2),
            max_budget_wait: Duration::from_secs(1),
            budget: BudgetConfig::default(),
        }
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the rates that this process may use.
    #[must_use]
    pub fn budget(mut self, budget: BudgetConfig) -> Self {
        self.budget = budget;
        self
    }
}

/// Client of the object API over HTTP/1.1 with a pool of connections.
#[derive(Clone, Debug)]
pub struct HttpStore {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    cfg: HttpStoreConfig,
    client: Client<HttpConnector, Full<Bytes>>,
    budget: Mutex<CallBudget>,
    start: Instant,
    /// Number of entries in the last list of VMs that name no VM.
    odd_vms: AtomicUsize,
}

/// Response of the platform, or the reason why there is none.
enum CallOutcome {
    Response {
        status: StatusCode,
        version: Option<Version>,
        body: Bytes,
    },
    /// No connection was established, so the request was not sent.
    NotSent,
    /// The request may have been sent, but no complete response was received.
    Lost,
}

#[derive(Deserialize)]
struct ListBody {
    entries: Vec<ListEntry>,
    more: bool,
}

#[derive(Deserialize)]
struct ListEntry {
    name: Name,
    version: Version,
}

#[derive(Deserialize)]
struct VmsBody {
    vms: Vec<Box<RawValue>>,
}

impl HttpStore {
    /// Creates a client. Connections are opened on demand.
    #[must_use]
    pub fn open(cfg: HttpStoreConfig) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let budget = Mutex::new(CallBudget::new(cfg.budget));
        Self {
            inner: Arc::new(Inner {
                cfg,
                client,
                budget,
                start: Instant::now(),
                odd_vms: AtomicUsize::new(0),
            }),
        }
    }
}

impl Store for HttpStore {
    fn call(&self, op: StoreOp) -> BoxFuture<StoreReply> {
        let inner = Arc::clone(&self.inner);
        Box::pin(async move { inner.call(op).await })
    }

    fn watch(&self, key: ObjectKey, after: Version, wait: Duration) -> BoxFuture<WatchReply> {
        let inner = Arc::clone(&self.inner);
        Box::pin(async move { inner.watch(key, after, wait).await })
    }

    fn vms(&self) -> BoxFuture<Option<Vec<VmEntry>>> {
        let inner = Arc::clone(&self.inner);
        Box::pin(async move { inner.vms().await })
    }
}

impl Inner {
    async fn call(&self, op: StoreOp) -> StoreReply {
        let write = op.is_write();
        if !self.acquire_budget(write).await {
            metrics::counter!("dogwoodtray_platform_refused_total").increment(1);
            return unavailable();
        }
        count_call(&op);
        let Some(req) = self.encode_request(&op) else {
            return unavailable();
        };
        match self.send(req, self.cfg.timeout).await {
            CallOutcome::Response { status, version, body } => {
                decode_reply(&op, status, version, body)
            }
            CallOutcome::NotSent => unavailable(),
            CallOutcome::Lost if write => StoreReply::Ambiguous,
            CallOutcome::Lost => unavailable(),
        }
    }

    async fn watch(&self, key: ObjectKey, after: Version, wait: Duration) -> WatchReply {
        let failed = WatchReply::Unavailable { retry_after: RETRY_AFTER };
        if !self.acquire_budget(false).await {
            return failed;
        }
        metrics::counter!("dogwoodtray_platform_calls_total", "op" => "watch").increment(1);
        let path = format!(
            "/v1/watch/{}/{}?after={}&wait_ms={}",
            percent_encode(&key.kind),
            percent_encode(&key.name),
            after.0,
            wait.as_millis()
        );
        let Some(req) = self.build_request(Method::GET, &path, Full::default()) else {
            return failed;
        };
        match self.send(req, wait + WATCH_GRACE).await {
            CallOutcome::Response { status: StatusCode::OK, version: Some(version), body } => {
                WatchReply::Changed { version, value: Arc::from(body.as_ref()) }
            }
            CallOutcome::Response { status: StatusCode::NO_CONTENT, .. } => WatchReply::Unchanged,
            _ => failed,
        }
    }

    async fn vms(&self) -> Option<Vec<VmEntry>> {
        if !self.acquire_budget(false).await {
            return None;
        }
        metrics::counter!("dogwoodtray_platform_calls_total", "op" => "vms").increment(1);
        let req = self.build_request(Method::GET, "/v1/vms", Full::default())?;
        let CallOutcome::Response { status: StatusCode::OK, body, .. } =
            self.send(req, self.cfg.timeout).await
        else {
            return None;
        };
        let list: VmsBody = decode_json(&body)
            .inspect_err(|err| log::warn!("failed to decode the list of VMs: {err}"))
            .ok()?;
        let vms: Vec<VmEntry> = list.vms.iter().filter_map(|vm| decode_vm(vm)).collect();
        let odd = list.vms.len() - vms.len();
        if self.odd_vms.swap(odd, Ordering::Relaxed) != odd {
            log::warn!("{odd} entries in the list of VMs name no VM");
        }
        Some(vms)
    }

    async fn acquire_budget(&self, write: bool) -> bool {
        let wait = {
            let now = Timestamp::ZERO + self.start.elapsed();
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.reserve(now, write)
        };
        if wait > self.cfg.max_budget_wait {
            return false;
        }
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        true
    }

    fn encode_request(&self, op: &StoreOp) -> Option<Request<Full<Bytes>>> {
        match op {
            StoreOp::Get { key } => {
                self.build_request(Method::GET, &object_path(key), Full::default())
            }
            StoreOp::Put { key, expect, value } => {
                let body = Full::new(Bytes::copy_from_slice(value));
                let mut req = self.build_request(Method::PUT, &object_path(key), body)?;
                let (name, condition) = match expect {
                    Precondition::Absent => (header::IF_NONE_MATCH, "*".to_owned()),
                    Precondition::Version(version) => (header::IF_MATCH, etag(*version)),
                };
                req.headers_mut().insert(name, condition.parse().ok()?);
                Some(req)
            }
            StoreOp::Delete { key, expect } => {
                let mut req =
                    self.build_request(Method::DELETE, &object_path(key), Full::default())?;
                req.headers_mut().insert(header::IF_MATCH, etag(*expect).parse().ok()?);
                Some(req)
            }
            StoreOp::List { kind, prefix, after, limit } => {
                let mut path = format!(
                    "/v1/objects/{}?prefix={}&limit={limit}",
                    percent_encode(kind),
                    percent_encode(prefix)
                );
                if let Some(after) = after {
                    path.push_str("&after=");
                    path.push_str(&percent_encode(after));
                }
                self.build_request(Method::GET, &path, Full::default())
            }
        }
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: Full<Bytes>,
    ) -> Option<Request<Full<Bytes>>> {
        let uri = format!("http://{}{path}", self.cfg.addr);
        Request::builder().method(method).uri(uri).body(body).ok()
    }

    async fn send(&self, req: Request<Full<Bytes>>, timeout: Duration) -> CallOutcome {
        let exchange = async {
            let response = match self.client.request(req).await {
                Ok(response) => response,
                Err(err) if err.is_connect() => return CallOutcome::NotSent,
                Err(_) => return CallOutcome::Lost,
            };
            let status = response.status();
            let version = parse_etag(response.headers());
            match Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await {
                Ok(body) => CallOutcome::Response { status, version, body: body.to_bytes() },
                Err(_) => CallOutcome::Lost,
            }
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(CallOutcome::Lost)
    }
}

fn count_call(op: &StoreOp) {
    let name = match op {
        StoreOp::Get { .. } => "get",
        StoreOp::Put { .. } => "put",
        StoreOp::Delete { .. } => "delete",
        StoreOp::List { .. } => "list",
    };
    metrics::counter!("dogwoodtray_platform_calls_total", "op" => name).increment(1);
}

/// Decodes an entry of the list of VMs, which may be of another writer.
fn decode_vm(entry: &RawValue) -> Option<VmEntry> {
    let vm: VmEntry = serde_json::from_str(entry.get()).ok()?;
    let is_usable = listening_addr(&vm.addr).is_some() && !vm.name.is_empty();
    (is_usable && !has_unreadable_bytes(entry.get())).then_some(vm)
}

fn decode_reply(
    op: &StoreOp,
    status: StatusCode,
    version: Option<Version>,
    body: Bytes,
) -> StoreReply {
    match status {
        StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => StoreReply::Conflict,
        StatusCode::NOT_FOUND => StoreReply::Missing,
        StatusCode::PAYLOAD_TOO_LARGE => StoreReply::TooLarge,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => unavailable(),
        status if status.is_success() => decode_success(op, version, body),
        // Other statuses may come from a proxy and do not show whether the store made the change.
        _ if op.is_write() => StoreReply::Ambiguous,
        _ => unavailable(),
    }
}

fn decode_success(op: &StoreOp, version: Option<Version>, body: Bytes) -> StoreReply {
    match (op, version) {
        (StoreOp::Get { .. }, Some(version)) => {
            StoreReply::Found { version, value: Arc::from(body.as_ref()) }
        }
        (StoreOp::Put { .. }, Some(version)) => StoreReply::Written { version },
        (StoreOp::Put { .. }, None) => StoreReply::Ambiguous,
        (StoreOp::Delete { .. }, _) => StoreReply::Deleted,
        (StoreOp::List { .. }, _) => match decode_json::<ListBody>(&body) {
            Ok(list) => StoreReply::Listed {
                entries: list
                    .entries
                    .into_iter()
                    .map(|entry| (entry.name, entry.version))
                    .collect(),
                more: list.more,
            },
            Err(_) => unavailable(),
        },
        (StoreOp::Get { .. }, None) => unavailable(),
    }
}

fn unavailable() -> StoreReply {
    StoreReply::Unavailable { retry_after: RETRY_AFTER }
}

fn object_path(key: &ObjectKey) -> String {
    format!("/v1/objects/{}/{}", percent_encode(&key.kind), percent_encode(&key.name))
}

fn etag(version: Version) -> String {
    format!("\"{}\"", version.0)
}

fn parse_etag(headers: &header::HeaderMap) -> Option<Version> {
    let text = headers.get(header::ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok().map(Version)
}

/// Decodes percent-encoded bytes. Returns `None` if the result is not valid UTF-8.
#[must_use]
pub fn percent_decode(text: &str) -> Option<String> {
    let bytes = text.as_bytes();
    let mut unescaped = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while let Some(&byte) = bytes.get(index) {
        let escaped = bytes.get(index + 1..index + 3).filter(|_| byte == b'%').and_then(hex_byte);
        unescaped.push(escaped.unwrap_or(byte));
        index += if escaped.is_some() { 3 } else { 1 };
    }
    String::from_utf8(unescaped).ok()
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let high = char::from(*digits.first()?).to_digit(16)?;
    let low = char::from(*digits.get(1)?).to_digit(16)?;
    u8::try_from(high * 16 + low).ok()
}

/// Percent-encodes all bytes except the unreserved characters of URIs.
#[must_use]
pub fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
