//! HTTP routes of the object API.

use std::time::Duration;

use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::Version;
use hyper::Method;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use serde_json::json;
use tokio::time::Instant;

use super::counts::Op;
use super::counts::Refusal;
use super::objects::UpdateResult;
use super::state::Decision;
use super::state::Shared;
use super::vm::Vm;
use crate::faults::apply_patch;
use crate::http::Call;
use crate::http::ConnectionDropped;
use crate::http::Failure;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::bad_request;
use crate::http::empty;
use crate::http::error;
use crate::http::json;
use crate::http::raw;
use crate::http::route_not_found;

/// Maximum number of entries in a page of a list, and the default.
const MAX_LIST_ENTRIES: u64 = 1_000;

/// Maximum duration of a watch.
const MAX_WATCH_DURATION: Duration = Duration::from_secs(300);

/// Kind under which calls for the list of VMs are counted.
const VMS_KIND: &str = "vms";

impl Handler for Shared {
    async fn handle(&self, call: Call) -> Result<Reply, Failure> {
        let route = call.route();
        match (&call.method, route.as_slice()) {
            (&Method::POST, ["standin", "faults"]) => self.post_faults(&call),
            (&Method::GET, ["standin", "calls"]) => {
                Ok(json(StatusCode::OK, &self.lock().counts.report()))
            }
            (&Method::PUT, ["standin", "vms", name]) => self.put_vm(name, &call),
            (&Method::DELETE, ["standin", "vms", name]) => self.delete_vm(name),
            (method, ["v1", "objects", kind, name]) => {
                let key = ObjectKey::new(*kind, *name);
                let op = match *method {
                    Method::GET => Op::Get,
                    Method::PUT => Op::Put,
                    Method::DELETE => Op::Delete,
                    _ => return Err(method_not_allowed()),
                };
                self.serve(kind, op, self.object(key, op, &call)).await
            }
            (&Method::GET, ["v1", "objects", kind]) => {
                self.serve(kind, Op::List, async { self.list(kind, &call) }).await
            }
            (&Method::GET, ["v1", "watch", kind, name]) => {
                let key = ObjectKey::new(*kind, *name);
                self.serve(kind, Op::Watch, self.watch(key, &call)).await
            }
            (&Method::GET, ["v1", "vms"]) => {
                let list = async { Ok(json(StatusCode::OK, &json!({ "vms": self.vms() }))) };
                self.serve(VMS_KIND, Op::Vms, list).await
            }
            _ => Err(route_not_found()),
        }
    }
}

impl Shared {
    /// Counts a call, applies rate limits and faults, and executes it unless it is refused.
    async fn serve(
        &self,
        kind: &str,
        op: Op,
        call: impl Future<Output = Result<Reply, Failure>>,
    ) -> Result<Reply, Failure> {
        let delay_ms = self.faults.borrow().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let lose_reply = match self.admit(kind, op) {
            Decision::Serve { lose_reply } => lose_reply,
            Decision::Refuse(refusal) => return Err(refused(refusal)),
        };
        let reply = call.await;
        if lose_reply {
            self.lock().counts.add_lost_reply();
            return Err(ConnectionDropped.into());
        }
        reply
    }

    async fn object(&self, key: ObjectKey, op: Op, call: &Call) -> Result<Reply, Failure> {
        match op {
            Op::Put => self.put(key, call),
            Op::Delete => self.delete(&key, call),
            _ => match self.lock().objects.get(&key) {
                Some((version, value)) => Ok(with_etag(raw(StatusCode::OK, value), version)),
                None => Err(object_not_found()),
            },
        }
    }

    fn put(&self, key: ObjectKey, call: &Call) -> Result<Reply, Failure> {
        if call.body.len() > self.max_value_bytes {
            let message = format!("value is larger than {} bytes", self.max_value_bytes);
            return Err(error(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message));
        }
        let Some(expect) = precondition(call) else {
            return Err(bad_request("PUT needs If-Match: \"N\" or If-None-Match: *"));
        };
        let mut state = self.lock();
        let update = state.objects.put(key.clone(), expect, call.body.clone());
        state.notify_watches(&key);
        update_reply(update)
    }

    fn delete(&self, key: &ObjectKey, call: &Call) -> Result<Reply, Failure> {
        let Some(Precondition::Version(version)) = precondition(call) else {
            return Err(bad_request("DELETE needs If-Match: \"N\""));
        };
        update_reply(self.lock().objects.delete(key, version))
    }

    fn list(&self, kind: &str, call: &Call) -> Result<Reply, Failure> {
        let prefix = call.param::<String>("prefix")?.unwrap_or_default();
        let after = call.param::<String>("after")?;
        let limit = call.param("limit")?.unwrap_or(MAX_LIST_ENTRIES).min(MAX_LIST_ENTRIES);
        let page = self.lock().objects.list(kind, &prefix, after.as_deref(), limit as usize);
        Ok(json(StatusCode::OK, &page))
    }

    async fn watch(&self, key: ObjectKey, call: &Call) -> Result<Reply, Failure> {
        let after = Version(call.param("after")?.unwrap_or_default());
        let wait = Duration::from_millis(call.param("wait_ms")?.unwrap_or_default());
        let wait = wait.min(MAX_WATCH_DURATION);
        let deadline = Instant::now() + wait;
        let notifier = self.lock().notifier(&key);
        let mut faults = self.faults.subscribe();
        loop {
            // Register before the read, so that a change after the read is not missed.
            let mut changed = std::pin::pin!(notifier.notified());
            changed.as_mut().enable();
            let current = self.lock().objects.get(&key);
            if let Some((version, value)) = current.filter(|(version, _)| *version != after) {
                return Ok(with_etag(raw(StatusCode::OK, value), version));
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(deadline) => {
                    return Ok(empty(StatusCode::NO_CONTENT));
                }
                _ = faults.wait_for(|faults| faults.outage) => return Err(refused(Refusal::Outage)),
            }
        }
    }

    fn post_faults(&self, call: &Call) -> Result<Reply, Failure> {
        let current = self.faults.borrow().clone();
        let next = apply_patch(&current, &call.body)?;
        self.faults.send_replace(next.clone());
        Ok(json(StatusCode::OK, &next))
    }

    fn put_vm(&self, name: &str, call: &Call) -> Result<Reply, Failure> {
        let vm = call.json::<Vm>()?;
        if &*vm.name != name {
            return Err(bad_request("name differs from the path"));
        }
        self.set_vm(vm);
        Ok(empty(StatusCode::NO_CONTENT))
    }

    fn delete_vm(&self, name: &str) -> Result<Reply, Failure> {
        if !self.remove_vm(name) {
            return Err(object_not_found());
        }
        Ok(empty(StatusCode::NO_CONTENT))
    }
}

fn precondition(call: &Call) -> Option<Precondition> {
    let if_match = call.headers.get(header::IF_MATCH);
    let if_none_match = call.headers.get(header::IF_NONE_MATCH);
    match (if_match, if_none_match) {
        (None, Some(any)) if any == "*" => Some(Precondition::Absent),
        (Some(etag), None) => {
            let quoted = etag.to_str().ok()?;
            let version = quoted.strip_prefix('"')?.strip_suffix('"')?.parse().ok()?;
            Some(Precondition::Version(Version(version)))
        }
        _ => None,
    }
}

fn update_reply(update: UpdateResult) -> Result<Reply, Failure> {
    match update {
        UpdateResult::Written(version) => Ok(with_etag(empty(StatusCode::OK), version)),
        UpdateResult::Deleted => Ok(empty(StatusCode::NO_CONTENT)),
        UpdateResult::Missing => Err(object_not_found()),
        UpdateResult::Conflict => {
            Err(error(StatusCode::CONFLICT, "conflict", "object is not in the expected state"))
        }
    }
}

fn refused(refusal: Refusal) -> Failure {
    let (status, code) = match refusal {
        Refusal::Outage => (StatusCode::SERVICE_UNAVAILABLE, "outage"),
        Refusal::Fault => (StatusCode::SERVICE_UNAVAILABLE, "refused"),
        Refusal::RateLimit => (StatusCode::TOO_MANY_REQUESTS, "rate_limit"),
    };
    error(status, code, "the call had no effect")
}

fn with_etag(mut reply: Reply, version: Version) -> Reply {
    if let Ok(etag) = HeaderValue::from_str(&format!("\"{}\"", version.0)) {
        reply.headers_mut().insert(header::ETAG, etag);
    }
    reply
}

fn object_not_found() -> Failure {
    error(StatusCode::NOT_FOUND, "missing", "no such object")
}

fn method_not_allowed() -> Failure {
    error(StatusCode::METHOD_NOT_ALLOWED, "no_method", "method is not served here")
}
