//! Endpoints that said in an answer that they are leaving.

use std::collections::HashMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_wire::messages;
use hyper::http::response::Parts;

use crate::model::Endpoint;
use crate::model::ProtocolNames;
use crate::node::Node;
use crate::node::NodeRole;
use crate::request::is_for_other_request;

/// Maximum number of marks. The oldest one is dropped.
const MAX_MARKS: usize = 4_096;

/// Time for which an endpoint without a start time keeps its mark. One that starts again under its id
/// and address cannot be told from the one before, so it gets no requests for this time.
const UNKNOWN_START_RETENTION: Duration = Duration::from_secs(60);

/// Value of the header of an endpoint that is leaving.
const LEAVING_VALUE: &[u8] = b"1";

/// Life of an endpoint, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Life {
    service: Name,
    addr: SocketAddr,
    started_unix_ms: u64,
}

impl Life {
    fn of(endpoint: &Endpoint) -> Self {
        Self {
            service: Name::clone(&endpoint.service),
            addr: endpoint.addr,
            started_unix_ms: endpoint.started_unix_ms,
        }
    }
}

/// Marks of endpoints that are leaving, bounded in number.
///
/// A mark holds for one life of an endpoint. The list of endpoints does not clear it, since the list
/// may be older than the answer.
#[derive(Debug, Default)]
pub(crate) struct LeavingMarks {
    by_id: HashMap<Name, (Life, Timestamp)>,
}

impl LeavingMarks {
    /// Marks an endpoint. Returns `true` if it was not marked.
    pub(crate) fn mark(&mut self, now: Timestamp, endpoint: &Endpoint) -> bool {
        if self.has(endpoint) {
            return false;
        }
        if self.by_id.len() >= MAX_MARKS {
            let oldest = self.by_id.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(id) = oldest.map(|(id, _)| Name::clone(id)) {
                self.by_id.remove(&id);
            }
        }
        self.by_id.insert(Name::clone(&endpoint.id), (Life::of(endpoint), now));
        true
    }

    /// Returns `true` if this life of an endpoint is leaving.
    pub(crate) fn has(&self, endpoint: &Endpoint) -> bool {
        self.by_id.get(&endpoint.id).is_some_and(|(life, _)| *life == Life::of(endpoint))
    }

    /// Drops the marks that no longer hold.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.by_id.retain(|_, (life, at)| {
            life.started_unix_ms != 0 || now - *at < UNKNOWN_START_RETENTION
        });
    }
}

/// Returns `true` if the answer to a request with this id says that its endpoint is leaving. An answer
/// to another request proves nothing, and neither do other values or several that differ.
pub(crate) fn says_leaving(names: &ProtocolNames, parts: &Parts, request_id: &str) -> bool {
    let mut values = parts.headers.get_all(&names.leaving).iter().peekable();
    values.peek().is_some()
        && values.all(|value| value == LEAVING_VALUE)
        && !is_for_other_request(names, parts, request_id)
}

/// # Leaving endpoints
impl Node {
    /// Marks the endpoint of an answer if the answer says that it is leaving.
    pub(crate) fn on_answer_head(&self, endpoint: &Endpoint, parts: &Parts, request: &Name) {
        if says_leaving(self.dialect.names(), parts, request)
            && self.mark_leaving(endpoint, Some(request))
        {
            self.tell_drivers(endpoint);
        }
    }

    /// Handles the word of another process that an endpoint is leaving.
    pub(crate) fn on_endpoint_leaving(&self, leaving: &messages::EndpointLeaving, from: NodeRole) {
        let endpoint = self.directory.borrow().known_endpoint(&leaving.endpoint).cloned();
        let is_same_life = |endpoint: &Rc<Endpoint>| {
            endpoint.addr.to_string() == leaving.address
                && endpoint.started_unix_ms == leaving.started_unix_ms
        };
        if let Some(endpoint) = endpoint.filter(is_same_life)
            && self.mark_leaving(&endpoint, None)
            && from == NodeRole::Gateway
        {
            self.tell_drivers(&endpoint);
        }
        self.relay_driver_frame(leaving.clone(), from);
    }

    /// Tells the drivers again if one of them granted a place at an endpoint that is leaving.
    pub(crate) fn on_unusable_grant(&self, endpoint: &str) {
        let known = self.directory.borrow().known_endpoint(endpoint).cloned();
        if let Some(endpoint) = known
            && self.directory.borrow().is_leaving(&endpoint)
        {
            self.tell_drivers(&endpoint);
        }
    }

    /// Marks an endpoint and grants no more places there. Returns `true` if it was not marked.
    fn mark_leaving(&self, endpoint: &Endpoint, request: Option<&Name>) -> bool {
        if !self.directory.borrow_mut().mark_leaving(self.now(), endpoint) {
            return false;
        }
        let source = if request.is_some() { "answer" } else { "relay" };
        let fields: [(&str, &dyn Display); 4] = [
            ("endpoint", &endpoint.id),
            ("address", &endpoint.addr),
            ("started_unix_ms", &endpoint.started_unix_ms),
            ("source", &source),
        ];
        self.events.emit(&catalogue::ENDPOINT_LEAVING, request, &fields);
        metrics::counter!("dogwoodtray_leaving_endpoints_total", "source" => source).increment(1);
        self.refresh_places();
        true
    }

    /// Tells the drivers that assign places; a driver tells all processes that dialed it.
    fn tell_drivers(&self, endpoint: &Endpoint) {
        let message = messages::EndpointLeaving {
            endpoint: endpoint.id.to_string(),
            address: endpoint.addr.to_string(),
            started_unix_ms: endpoint.started_unix_ms,
        };
        if self.cfg.role == NodeRole::Driver {
            self.peers.broadcast_to_accepted(message);
            return;
        }
        self.send_to_first_drivers(&message.into());
    }
}
