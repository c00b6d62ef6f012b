//! Limits of organizations: which requests for places spend a token, and where.
//!
//! The driver that assigns places decides; a gateway that reaches no driver has a small part of its
//! own. See `docs/design/organization-limits.md`.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::LimitTolerance;
use dogwoodtray_coord::LocalLimits;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RateLimit;
use dogwoodtray_coord::RateLimits;
use dogwoodtray_coord::SpendId;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_runtime::EventLog;
use dogwoodtray_runtime::catalogue;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::acquire::PlaceEvent;
use crate::model::Organization;
use crate::model::Organizations;
use crate::node::Node;
use crate::node::NodeRole;

/// Interval at which the share of a driver is computed again. Adds to the time in which two drivers
/// may count the same gateways.
const SHARE_INTERVAL: Duration = Duration::from_millis(50);

/// Number of limited organizations up to which a change of the share is applied at once. Each change
/// updates all buckets, and all gateways change at a takeover. Waiting for the interval refuses 8% of
/// the requests of a second at 190 requests per second below the limit, instead of 1%.
const MAX_IMMEDIATE_BUCKETS: usize = 1_000;

/// `Retry-After` of a request that is refused because this process does not know whether the limit
/// is reached: a gateway that reaches no driver, or a driver that does not know the organization.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time without a refusal after which an organization is no longer limited.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Request that may spend a token.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spending<'a> {
    pub(super) id: PlaceId,
    pub(super) organization: Option<&'a Name>,
    /// Whether the request has spent a token already or needs none.
    pub(super) counted: bool,
}

impl<'a> Spending<'a> {
    /// Returns the organization that spends a token, if one does.
    fn spender(&self) -> Option<&'a Name> {
        self.organization.filter(|_| !self.counted)
    }
}

/// Refusals of an organization since it reached its limit.
#[derive(Debug)]
struct Refusals {
    since: Timestamp,
    last: Timestamp,
    count: u64,
}

/// Limits of all organizations, as known to this process.
#[derive(Debug)]
pub(crate) struct OrganizationLimits {
    limits: RefCell<RateLimits>,
    local: RefCell<LocalLimits>,
    /// Whether the configuration limits an organization.
    is_active: Cell<bool>,
    activated: Notify,
    /// Organizations that are limited now.
    limited: RefCell<HashMap<Name, Refusals>>,
    /// Driver from which this process requests places, as told to all drivers.
    last_driver: RefCell<Option<Name>>,
}

impl OrganizationLimits {
    pub(crate) fn new(tolerance: LimitTolerance, now: Timestamp) -> Self {
        Self {
            limits: RefCell::new(RateLimits::new(tolerance)),
            local: RefCell::new(LocalLimits::new(tolerance, now)),
            is_active: Cell::new(false),
            activated: Notify::new(),
            limited: RefCell::default(),
            last_driver: RefCell::default(),
        }
    }

    /// Applies the limits of a configuration.
    fn set_organizations(&self, now: Timestamp, organizations: &Organizations) {
        let limited = organizations.iter().filter(|organization| organization.is_limited());
        let list: Vec<(Name, RateLimit)> = limited
            .map(|organization| (Name::clone(&organization.name), limit_of(organization)))
            .collect();
        let was_active = self.is_active.replace(!list.is_empty());
        if was_active || !list.is_empty() {
            self.limits.borrow_mut().set_limits(now, &list);
        }
        if !list.is_empty() {
            self.activated.notify_one();
        }
    }

    fn set_share(&self, now: Timestamp, share: f64) {
        self.limits.borrow_mut().set_share(now, share);
        metrics::gauge!("dogwoodtray_limit_share").set(share);
    }

    /// Records the driver that is to be asked for places. Returns `true` if it is not the last one.
    fn is_new_driver(&self, name: Option<Name>) -> bool {
        let mut last = self.last_driver.borrow_mut();
        let is_new = *last != name;
        *last = name;
        is_new
    }

    fn on_refused(&self, now: Timestamp, organization: &Name, events: &EventLog) {
        metrics::counter!("dogwoodtray_over_limit_total").increment(1);
        let mut limited = self.limited.borrow_mut();
        if let Some(refusals) = limited.get_mut(organization) {
            refusals.last = now;
            refusals.count += 1;
            return;
        }
        let refusals = Refusals { since: now, last: now, count: 1 };
        limited.insert(Name::clone(organization), refusals);
        set_limited_count(limited.len());
        let fields: [(&str, &dyn Display); 1] = [("organization", organization)];
        events.emit(&catalogue::ORGANIZATION_LIMITED, None, &fields);
    }

    /// Reports the organizations that are no longer limited.
    fn end_quiet(&self, now: Timestamp, events: &EventLog) {
        let mut limited = self.limited.borrow_mut();
        let count = limited.len();
        limited.retain(|organization, refusals| {
            let is_limited = now - refusals.last < QUIET_TIME;
            if !is_limited {
                let seconds = (refusals.last - refusals.since).as_secs_f64();
                let fields: [(&str, &dyn Display); 3] = [
                    ("organization", organization),
                    ("refused", &refusals.count),
                    ("seconds", &seconds),
                ];
                events.emit(&catalogue::ORGANIZATION_UNLIMITED, None, &fields);
            }
            is_limited
        });
        if limited.len() != count {
            set_limited_count(limited.len());
        }
    }
}

fn set_limited_count(count: usize) {
    #[allow(clippy::cast_precision_loss, reason = "at most thousands")]
    metrics::gauge!("dogwoodtray_limited_organizations").set(count as f64);
}

fn undecided() -> PlaceEvent {
    metrics::counter!("dogwoodtray_undecided_limits_total").increment(1);
    PlaceEvent::Refuse(UNDECIDED_RETRY_AFTER)
}

fn limit_of(organization: &Organization) -> RateLimit {
    RateLimit { rate_per_s: organization.rate_per_s, burst: organization.burst }
}

const fn spend_id(id: PlaceId) -> SpendId {
    SpendId { holder: id.holder, number: id.number }
}

/// # Limits of organizations
impl Node {
    /// Applies the limits of the active configuration.
    pub(crate) fn apply_limits(&self) {
        let config = self.directory.borrow().config().map(Rc::clone);
        if let Some(config) = config {
            self.places.limits.set_organizations(self.now(), config.organizations());
        }
    }

    /// Starts the task by which a driver keeps its share of the limits current.
    pub(crate) fn spawn_limit_share(self: &Rc<Self>) {
        if self.cfg.role != NodeRole::Driver {
            return;
        }
        let node = Rc::clone(self);
        spawn_local(async move {
            let limits = &node.places.limits;
            loop {
                if !limits.is_active.get() {
                    limits.activated.notified().await;
                }
                node.update_limit_share();
                limits.end_quiet(node.now(), &node.events);
                sleep(SHARE_INTERVAL).await;
            }
        });
    }

    /// Computes the share of the limits after a gateway has changed the driver that it asks. With many
    /// organizations, the next interval does it unless this driver begins to assign places.
    pub(crate) fn on_gateway_changed(&self) {
        let is_due = {
            let limits = self.places.limits.limits.borrow();
            limits.share() <= 0.0 || limits.bucket_count() <= MAX_IMMEDIATE_BUCKETS
        };
        if is_due {
            self.update_limit_share();
        }
    }

    /// Computes the share of the limits that this driver may use.
    fn update_limit_share(&self) {
        if self.cfg.role == NodeRole::Driver && self.places.limits.is_active.get() {
            let share = self.peers.served_share(self);
            self.places.limits.set_share(self.now(), share);
        }
    }

    /// Tells all drivers at once if this gateway now requests places from another one than before. They
    /// compute their shares from this.
    pub(crate) fn announce_changed_driver(&self) {
        let limits = &self.places.limits;
        if self.cfg.role == NodeRole::Gateway
            && limits.is_active.get()
            && limits.is_new_driver(self.dispatcher())
        {
            self.announce_dispatcher();
        }
    }

    /// Takes a token for a request at the driver that assigns places, or at a gateway that reaches no
    /// driver.
    pub(super) fn spend_token(&self, spending: Spending<'_>) -> Result<(), PlaceEvent> {
        let Some(organization) = spending.spender() else { return Ok(()) };
        let configured = {
            let directory = self.directory.borrow();
            let config = directory.config();
            config.and_then(|config| config.organizations().by_name(organization).cloned())
        };
        // An organization that only the gateway's configuration names may be limited there.
        if configured.as_ref().is_some_and(|organization| !organization.is_limited()) {
            return Ok(());
        }
        let now = self.now();
        if self.cfg.role == NodeRole::Gateway {
            let limit = configured.as_deref().map(limit_of);
            return self.spend_local_token(now, organization, limit.unwrap_or_default());
        }
        let accepted =
            self.places.limits.limits.borrow_mut().accept(now, spend_id(spending.id), organization);
        accepted.map_err(|retry_after| {
            if configured.is_none() {
                return undecided();
            }
            self.places.limits.on_refused(now, organization, &self.events);
            PlaceEvent::OverLimit(retry_after)
        })
    }

    fn spend_local_token(
        &self,
        now: Timestamp,
        organization: &Name,
        limit: RateLimit,
    ) -> Result<(), PlaceEvent> {
        let gateways: Vec<Name> = self
            .registered_nodes
            .borrow()
            .iter()
            .filter(|node| node.role == NodeRole::Gateway)
            .map(|node| Name::clone(&node.name))
            .collect();
        let mut local = self.places.limits.local.borrow_mut();
        if local.try_take(now, organization, limit, &self.cfg.node, &gateways) {
            return Ok(());
        }
        Err(undecided())
    }

    /// Counts the token of a request that is granted a place.
    pub(super) fn start_spend(&self, id: PlaceId) -> Result<(), PlaceEvent> {
        let started = self.places.limits.limits.borrow_mut().start(self.now(), spend_id(id));
        started.map_err(|retry_after| {
            metrics::counter!("dogwoodtray_over_limit_total").increment(1);
            PlaceEvent::OverLimit(retry_after)
        })
    }

    /// Ends a request for a place. Gives its token back if it did not run.
    pub(super) fn end_spend(&self, id: PlaceId, not_run: bool) {
        if self.places.limits.limits.borrow_mut().end(self.now(), spend_id(id), not_run) {
            metrics::counter!("dogwoodtray_returned_tokens_total").increment(1);
        }
    }

    pub(super) fn remove_spends_of(&self, incarnation: u64) {
        self.places.limits.limits.borrow_mut().remove_holder(incarnation);
    }
}
