//! Log events and metrics of an online request.

use std::fmt::Display;
use std::rc::Rc;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_http::BodyFraming;
use dogwoodtray_runtime::catalogue;

use crate::node::Node;

/// Record of one request. Its end is logged exactly once, even if the caller disconnects.
#[derive(Debug)]
pub(crate) struct Trace {
    node: Rc<Node>,
    id: Name,
    route: Name,
    generation: u64,
    arrived: Timestamp,
    first_sent: Option<Timestamp>,
    first_data: Option<Timestamp>,
    endpoint: Option<Name>,
    framing: Option<BodyFraming>,
    sent: u32,
    status: u16,
    finished: bool,
}

impl Trace {
    pub(crate) fn new(
        node: &Rc<Node>,
        id: &Name,
        route: &Name,
        generation: u64,
        arrived: Timestamp,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            id: Name::clone(id),
            route: Name::clone(route),
            generation,
            arrived,
            first_sent: None,
            first_data: None,
            endpoint: None,
            framing: None,
            sent: 0,
            status: 0,
            finished: false,
        }
    }

    /// Records that the request is sent to an endpoint.
    pub(crate) fn on_sent(&mut self, endpoint: &Name) {
        self.first_sent.get_or_insert_with(|| self.node.now());
        self.endpoint = Some(Name::clone(endpoint));
        self.framing = None;
        self.sent += 1;
    }

    /// Records how the response of the endpoint is delimited.
    pub(crate) const fn on_head(&mut self, framing: BodyFraming) {
        self.framing = Some(framing);
    }

    /// Records the status of the response to the caller.
    pub(crate) const fn on_status(&mut self, status: u16) {
        self.status = status;
    }

    /// Records that data of the response arrived.
    pub(crate) fn on_data(&mut self) {
        if self.first_data.is_none() {
            self.first_data = Some(self.node.now());
        }
    }

    /// Logs a failed attempt that is followed by another one.
    pub(crate) fn log_retry(&self, endpoint: &Name, reason: &dyn Display) {
        let fields: [(&str, &dyn Display); 3] =
            [("endpoint", endpoint), ("reason", reason), ("sent", &self.sent)];
        self.node.events.emit(&catalogue::REQUEST_RETRIED, Some(&self.id), &fields);
    }

    /// Logs the outcome of the request, unless one has been logged already.
    pub(crate) fn finish(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let now = self.node.now();
        let since_arrival =
            |at: Option<Timestamp>| at.map_or(-1, |at| millis_between(at, self.arrived));
        let endpoint = self.endpoint.as_deref().unwrap_or("-");
        let total = millis_between(now, self.arrived);
        let (waited, first) = (since_arrival(self.first_sent), since_arrival(self.first_data));
        let framing = self.framing.map_or("-", BodyFraming::as_str);
        let fields: [(&str, &dyn Display); 10] = [
            ("outcome", &outcome),
            ("status", &self.status),
            ("route", &self.route),
            ("generation", &self.generation),
            ("endpoint", &endpoint),
            ("framing", &framing),
            ("sent", &self.sent),
            ("waited_ms", &waited),
            ("first_ms", &first),
            ("total_ms", &total),
        ];
        if outcome == "answered" {
            self.node.drain.record(now, &self.route, now - self.arrived);
        }
        let code = match outcome {
            "answered" => &catalogue::ROUTED_ANSWERED,
            "caller gone" => &catalogue::CALLER_GONE,
            _ => &catalogue::ROUTED_FAILED,
        };
        self.node.events.emit(code, Some(&self.id), &fields);
        metrics::counter!("dogwoodtray_routed_total", "outcome" => outcome).increment(1);
        if let Some(first) = self.first_data {
            let seconds = (first - self.arrived).as_secs_f64();
            metrics::histogram!("dogwoodtray_first_byte_seconds").record(seconds);
        }
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.finish("caller gone");
    }
}

fn millis_between(at: Timestamp, since: Timestamp) -> i64 {
    i64::try_from((at - since).as_millis()).unwrap_or(i64::MAX)
}
