//! Interface between a routing policy and the entry that runs it.

use std::fmt::Debug;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use rand::rngs::StdRng;

use crate::Class;
use crate::Cost;

/// Number of tokens after which a probe shows whether an endpoint has recovered. Its eight gaps
/// bring the average of an endpoint that was slow by a factor of five below twice the median.
pub const PROBE_TOKENS: u32 = 9;

slotmap::new_key_type! {
    /// Identifies an endpoint within one routing policy.
    pub struct EndpointKey;
}

/// A request to be routed to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// Model that the endpoint must serve.
    pub model: Name,
    /// Expected size.
    pub cost: Cost,
    /// Hash of the prefix of the prompt, or zero without a shared prefix.
    pub prefix: u64,
    /// Class of service.
    pub class: Class,
    /// Endpoints that must not be picked, such as those at which the request has failed.
    pub exclude: Vec<EndpointKey>,
    /// Whether the request may have crashed an endpoint. It is then only sent to endpoints without
    /// another suspect request.
    pub suspect: bool,
}

impl RouteRequest {
    /// Creates an online request without a shared prefix.
    #[must_use]
    pub const fn new(model: Name, cost: Cost) -> Self {
        let class = Class::Online;
        Self { model, cost, prefix: 0, class, exclude: Vec::new(), suspect: false }
    }
}

/// Selects the endpoint for a request.
///
/// All methods ignore the keys of removed endpoints, so late replies need no special handling.
pub trait RoutePolicy: Debug + Send {
    /// Adds an endpoint and returns its key. The endpoint is available.
    fn add(&mut self, models: &[Name], data_centre: &Name) -> EndpointKey;

    /// Removes an endpoint.
    fn remove(&mut self, key: EndpointKey);

    /// Sets whether an endpoint may be picked; `false` while it is leaving, silent or down.
    fn set_available(&mut self, key: EndpointKey, available: bool);

    /// Returns an endpoint for a request, or `None` if no endpoint qualifies. Does not count the
    /// request as load; see [`record_sent`](Self::record_sent).
    fn pick(
        &mut self,
        now: Timestamp,
        request: &RouteRequest,
        rng: &mut StdRng,
    ) -> Option<EndpointKey>;

    /// Records that work was sent to an endpoint. Exactly one call of `record_finished` follows.
    fn record_sent(&mut self, now: Timestamp, key: EndpointKey, class: Class, cost: Cost);

    /// Records the time from sending to the first token.
    fn record_first_token(&mut self, now: Timestamp, key: EndpointKey, took: Duration);

    /// Records the time between two tokens of one stream.
    fn record_token_gap(&mut self, now: Timestamp, key: EndpointKey, gap: Duration);

    /// Records the end of work that was sent. `ok` is `false` if the endpoint failed.
    fn record_finished(
        &mut self,
        now: Timestamp,
        key: EndpointKey,
        class: Class,
        cost: Cost,
        ok: bool,
    );

    /// Records the load that an endpoint reported.
    fn record_load_report(
        &mut self,
        now: Timestamp,
        key: EndpointKey,
        free_online: u32,
        free_batch: u32,
        queued_online: u32,
    );

    /// Returns an endpoint that is due to be probed with a copy of an idempotent online request.
    ///
    /// The copy runs concurrently with the request, is recorded like any other work and is
    /// cancelled after [`PROBE_TOKENS`](crate::PROBE_TOKENS). It never delays the request itself.
    fn due_probe(&mut self, _now: Timestamp, _request: &RouteRequest) -> Option<EndpointKey> {
        None
    }

    /// Returns `true` if streams on an endpoint are slow enough to be resumed on another one.
    fn is_slow(&mut self, _key: EndpointKey) -> bool {
        false
    }

    /// Records that suspect work was sent to an endpoint. Called in addition to `record_sent`.
    fn record_suspect_sent(&mut self, key: EndpointKey);

    /// Records that suspect work ended on an endpoint. Called in addition to `record_finished`.
    fn record_suspect_finished(&mut self, key: EndpointKey);
}
