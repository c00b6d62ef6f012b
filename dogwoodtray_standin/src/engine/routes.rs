//! HTTP routes of the engine stand-in.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use serde_json::json;
use tokio::time::Instant;

use super::chat::ChatRequest;
use super::core::Shared;
use super::orders::Order;
use super::orders::OrderResult;
use super::stream::EventStream;
use super::stream::whole_answer;
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
use crate::http::streamed;

/// Run key of requests with neither a request id nor an attempt id.
const DEFAULT_RUN_KEY: &str = "-";

impl Handler for Shared {
    async fn handle(&self, call: Call) -> Result<Reply, Failure> {
        let route = call.route();
        if route.first() != Some(&"standin") {
            self.wait_until_unfrozen().await;
        }
        match (&call.method, route.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => self.chat(&call).await,
            (&Method::POST, ["v1", "cancel", attempt]) => self.cancel(attempt),
            (&Method::GET, ["load"]) => Ok(self.load()),
            (&Method::GET, ["cache-events"]) => self.cache_events(&call),
            (&Method::POST, ["orders"]) => self.post_order(&call),
            (&Method::GET, ["orders"]) => Ok(json(StatusCode::OK, &self.lock().loaded)),
            (&Method::GET, ["kv", prefix]) => self.export(prefix),
            (&Method::PUT, ["kv", prefix]) => self.import(prefix, &call),
            (&Method::GET, ["health"]) => Ok(json(StatusCode::OK, &json!({ "status": "ok" }))),
            (&Method::POST, ["standin", "faults"]) => self.post_faults(&call),
            (&Method::GET, ["standin", "runs"]) => Ok(self.report_runs()),
            _ => Err(route_not_found()),
        }
    }
}

impl Shared {
    async fn chat(&self, call: &Call) -> Result<Reply, Failure> {
        let attempt = call.header("x-attempt");
        let run_key = call.header("x-request-id").or(attempt).unwrap_or(DEFAULT_RUN_KEY);
        if self.contains_crash_marker(&call.body) {
            self.runs.start(run_key).add_crashed();
            let restart_after = self.faults.borrow().restart_after_ms.map(Duration::from_millis);
            self.crash(restart_after);
            return Err(ConnectionDropped.into());
        }
        let chat = ChatRequest::parse(call, &self.cfg)?;
        if !chat.model.is_empty() && !self.lock().loaded.models.contains(&chat.model) {
            return Err(error(StatusCode::NOT_FOUND, "no_model", "the model is not loaded"));
        }
        let Some(rx) = self.admit(&chat, attempt, run_key) else {
            return Err(error(StatusCode::CONFLICT, "attempt_exists", "the attempt is running"));
        };
        if chat.stream {
            return Ok(streamed(EventStream::new(chat, rx)));
        }
        whole_answer(chat, rx).await
    }

    fn contains_crash_marker(&self, body: &[u8]) -> bool {
        let faults = self.faults.borrow();
        let Some(marker) = &faults.crash_marker else {
            return false;
        };
        body.windows(marker.len()).any(|window| window == marker.as_bytes())
    }

    fn cancel(&self, attempt: &str) -> Result<Reply, Failure> {
        let Some(tokens) = self.lock().batch.cancel(attempt) else {
            return Err(error(StatusCode::NOT_FOUND, "no_attempt", "the attempt is not running"));
        };
        Ok(json(StatusCode::OK, &json!({ "cancelled": true, "tokens": tokens })))
    }

    fn load(&self) -> Reply {
        let (age, load) = self.lock().load.read(Instant::now(), self.cfg.load_lag);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        json(StatusCode::OK, &json!({ "load": load, "age_ms": age_ms }))
    }

    fn cache_events(&self, call: &Call) -> Result<Reply, Failure> {
        let after = call.param("after")?.unwrap_or_default();
        let page = self.lock().cache_events.events_after(Instant::now(), after);
        Ok(json(StatusCode::OK, &page))
    }

    fn post_order(&self, call: &Call) -> Result<Reply, Failure> {
        let order = call.json::<Order>()?;
        match self.lock().loaded.apply(order) {
            OrderResult::Applied => Ok(json(StatusCode::OK, &json!({ "applied": true }))),
            OrderResult::Fenced { newest } => {
                let message = format!("the newest fencing token is {newest}");
                Err(error(StatusCode::CONFLICT, "fenced", message))
            }
        }
    }

    fn export(&self, prefix: &str) -> Result<Reply, Failure> {
        if !self.lock().cache.contains(prefix) {
            return Err(error(StatusCode::NOT_FOUND, "not_cached", "the prefix is not cached"));
        }
        let mut kv = kv_header(prefix);
        kv.resize(kv.len().max(self.cfg.kv_bytes), 0);
        Ok(raw(StatusCode::OK, Bytes::from(kv)))
    }

    fn import(&self, prefix: &str, call: &Call) -> Result<Reply, Failure> {
        if !call.body.starts_with(&kv_header(prefix)) {
            return Err(bad_request("the body is not an export of this prefix"));
        }
        self.lock().touch_prefix(prefix);
        Ok(empty(StatusCode::NO_CONTENT))
    }

    fn post_faults(&self, call: &Call) -> Result<Reply, Failure> {
        let current = self.faults.borrow().clone();
        let next = apply_patch(&current, &call.body)?;
        self.faults.send_replace(next.clone());
        Ok(json(StatusCode::OK, &next))
    }

    fn report_runs(&self) -> Reply {
        let crashes = self.lock().crashes;
        json(StatusCode::OK, &json!({ "runs": self.runs.all(), "crashes": crashes }))
    }
}

/// Returns the first bytes of the export of a prefix.
fn kv_header(prefix: &str) -> Vec<u8> {
    format!("kv:{prefix}\n").into_bytes()
}
