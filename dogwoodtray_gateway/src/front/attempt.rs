//! Attempts to run one request at an endpoint.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::PlaceEnd;
use hyper::StatusCode;
use tokio::time::timeout;

use super::answer;
use super::answer::Answer;
use super::trace::Trace;
use crate::model::Route;
use crate::model::RouteKind;
use crate::net::Exchange;
use crate::net::SendError;
use crate::net::send;
use crate::node::Node;
use crate::places::Lease;
use crate::places::NoPlace;
use crate::places::Want;
use crate::request::Outgoing;
use crate::request::Verdict;
use crate::request::judge;

/// Time that a request needs at its endpoint before its first byte, with the way there and back:
/// prefill and the first tokens of a stream, or an ordinary call of a plain service.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(60);

/// Time after which a stream whose head is missing waits inside its endpoint: an engine with a
/// free place begins within 40 ms.
const SLOW_HEAD: Duration = Duration::from_millis(100);

/// Endpoints that may turn a request away before it is given up. Each has said, or shown by not
/// accepting the connection, that it did not run it.
const MAX_TURNED_AWAY: u32 = 6;

/// Endpoints that a request avoids because they failed it; older failures are forgotten, so that
/// a small service is not avoided as a whole.
const MAX_EXCLUDED: usize = 2;

/// Time for which a request that was turned away or broken off still asks for a place.
const RETRY_PATIENCE: Duration = Duration::from_secs(1);

/// `Retry-After` of a request for which no place came up in time.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// How the attempts at a request ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// No place in time.
    NoPlace(Duration),
    /// The exchange broke; the request may have run.
    Lost,
    /// The endpoint was silent for too long.
    Silent,
    /// The time of the request is over.
    OutOfTime,
}

/// One request on its way.
#[derive(Debug)]
pub(crate) struct Attempts {
    pub(crate) node: Rc<Node>,
    pub(crate) route: Route,
    pub(crate) service: Name,
    pub(crate) id: Name,
    pub(crate) outgoing: Outgoing,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) trace: Trace,
    excluded: Vec<Name>,
    /// Attempts after which the request may have run.
    sent: u32,
    turned_away: u32,
}

impl Attempts {
    pub(crate) const fn new(
        node: Rc<Node>,
        route: Route,
        service: Name,
        id: Name,
        outgoing: Outgoing,
        times: (Timestamp, Timestamp),
        trace: Trace,
    ) -> Self {
        let (arrived, deadline) = times;
        Self {
            node,
            route,
            service,
            id,
            outgoing,
            arrived,
            deadline,
            trace,
            excluded: Vec::new(),
            sent: 0,
            turned_away: 0,
        }
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline - self.node.now()
    }

    /// Tells whether the request may be sent once more.
    pub(crate) fn may_retry(&self) -> bool {
        self.sent < self.route.max_attempts && !self.left().is_zero()
    }

    /// Sends the request to one endpoint after another until one runs it. `silence` limits the
    /// wait for the head of an answer.
    pub(crate) async fn next(
        &mut self,
        resume_after: Option<u64>,
        silence: Option<Duration>,
    ) -> Result<(Exchange, Lease), Ended> {
        loop {
            let mut lease = self.place().await?;
            let endpoint = self.node.directory.borrow().endpoint(&lease.endpoint).cloned();
            let left = self.left();
            let names = self.node.dialect.names();
            let Some(endpoint) = endpoint else {
                self.turn_away(&mut lease, PlaceEnd::Withdrawn, &"endpoint left")?;
                continue;
            };
            let Some(req) = self.outgoing.to(names, &endpoint.id, left, resume_after) else {
                return Err(Ended::Lost);
            };
            self.trace.on_sent(&endpoint.id);
            let limit = silence.map_or(left, |silence| silence.min(left));
            match timeout(limit, self.watched(&lease, send(endpoint.addr, req))).await {
                Ok(Ok(exchange)) => match judge(names, &exchange.parts, &self.id) {
                    Verdict::Answer | Verdict::Failure => {
                        self.sent += 1;
                        return Ok((exchange, lease));
                    }
                    Verdict::NotRun => {
                        let full = exchange.parts.status == StatusCode::SERVICE_UNAVAILABLE;
                        let end = if full { PlaceEnd::Full } else { PlaceEnd::Withdrawn };
                        self.turn_away(&mut lease, end, &exchange.parts.status)?;
                    }
                    Verdict::Damaged => {
                        self.sent += 1;
                        self.fail(&mut lease, PlaceEnd::Withdrawn, &"damaged answer");
                        return Err(Ended::Lost);
                    }
                },
                Ok(Err(SendError::NotSent(err))) => {
                    self.turn_away(&mut lease, PlaceEnd::Failed, &err)?;
                }
                Ok(Err(SendError::Lost(err))) => {
                    self.sent += 1;
                    self.fail(&mut lease, PlaceEnd::Failed, &err);
                    return Err(Ended::Lost);
                }
                Err(_) => {
                    self.sent += 1;
                    let out_of_time = self.left().is_zero();
                    let end = if out_of_time { PlaceEnd::Withdrawn } else { PlaceEnd::Failed };
                    self.fail(&mut lease, end, &"silence");
                    return Err(if out_of_time { Ended::OutOfTime } else { Ended::Silent });
                }
            }
        }
    }

    /// Waits for the head of an answer, and tells the dispatcher if that takes so long that the
    /// request must be waiting inside its endpoint.
    async fn watched<T>(&self, lease: &Lease, head: impl Future<Output = T>) -> T {
        tokio::pin!(head);
        if !matches!(self.route.kind, RouteKind::Streaming { .. }) {
            return head.await;
        }
        loop {
            match timeout(SLOW_HEAD, &mut head).await {
                Ok(head) => return head,
                Err(_) => lease.slow(),
            }
        }
    }

    async fn place(&self) -> Result<Lease, Ended> {
        let now = self.node.now();
        let objective = self.arrived + self.route.latency_objective.saturating_sub(FIRST_BYTE_TIME);
        let again = self.sent + self.turned_away > 0;
        let want = Want {
            service: Name::clone(&self.service),
            class: Class::Online,
            start_by: if again { objective.max(now + RETRY_PATIENCE) } else { objective },
            due: self.deadline,
            give_up_at: self.deadline,
            excluded: self.excluded.clone(),
        };
        self.node.place(&want).await.map_err(|none| match none {
            NoPlace::Refused { retry_after } => Ended::NoPlace(retry_after),
            NoPlace::Expired => Ended::NoPlace(EXPIRED_RETRY_AFTER),
        })
    }

    fn turn_away(
        &mut self,
        lease: &mut Lease,
        end: PlaceEnd,
        reason: &dyn std::fmt::Display,
    ) -> Result<(), Ended> {
        self.turned_away += 1;
        if end == PlaceEnd::Full {
            self.trace.retried(&lease.endpoint, reason);
            lease.ended(end);
        } else {
            self.fail(lease, end, reason);
        }
        if self.turned_away >= MAX_TURNED_AWAY || self.left().is_zero() {
            return Err(Ended::NoPlace(EXPIRED_RETRY_AFTER));
        }
        Ok(())
    }

    fn fail(&mut self, lease: &mut Lease, end: PlaceEnd, reason: &dyn std::fmt::Display) {
        self.trace.retried(&lease.endpoint, reason);
        lease.ended(end);
        if self.excluded.len() >= MAX_EXCLUDED {
            self.excluded.remove(0);
        }
        self.excluded.push(Name::clone(&lease.endpoint));
    }

    /// Answers a request that no endpoint answered.
    pub(crate) fn give_up(&mut self, ended: Ended) -> Answer {
        let (answer, outcome) = match ended {
            Ended::NoPlace(retry_after) if self.sent == 0 => {
                (answer::refused(retry_after), "refused")
            }
            Ended::OutOfTime => {
                (answer::plain(StatusCode::GATEWAY_TIMEOUT, "out of time\n"), "out of time")
            }
            Ended::NoPlace(_) | Ended::Lost | Ended::Silent => {
                let text = "the endpoint gave no answer; the request may have run\n";
                (answer::plain(StatusCode::BAD_GATEWAY, text), "lost")
            }
        };
        self.trace.on_status(answer.status().as_u16());
        self.trace.finish(outcome);
        answer
    }
}
