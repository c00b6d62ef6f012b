//! Orders that change what the engine has loaded.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderKind {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    SetRole,
}

/// Order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Order {
    pub(crate) order: OrderKind,
    pub(crate) name: String,
    pub(crate) fence: Option<u64>,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderResult {
    Applied,
    /// The order was rejected: its fencing token is missing or older than the newest one.
    Fenced {
        newest: u64,
    },
}

/// Models, adapters, version and role of the engine, as `GET /orders` returns them.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Loaded {
    pub(crate) models: BTreeSet<String>,
    pub(crate) adapters: BTreeSet<String>,
    pub(crate) version: Option<String>,
    pub(crate) role: Option<String>,
    pub(crate) newest_fence: u64,
    /// Number of orders that were applied.
    pub(crate) applied: u64,
    #[serde(skip)]
    check_fence: bool,
}

impl Loaded {
    /// Creates the initial state, with the given models loaded.
    pub(crate) fn new(models: &[String], check_fence: bool) -> Self {
        Self {
            models: models.iter().cloned().collect(),
            adapters: BTreeSet::new(),
            version: None,
            role: None,
            newest_fence: 0,
            applied: 0,
            check_fence,
        }
    }

    /// Applies an order, unless its fencing token is checked and stale.
    pub(crate) fn apply(&mut self, order: Order) -> OrderResult {
        let fence = order.fence.unwrap_or_default();
        let stale = order.fence.is_none() || fence < self.newest_fence;
        if self.check_fence && stale {
            return OrderResult::Fenced { newest: self.newest_fence };
        }
        self.newest_fence = self.newest_fence.max(fence);
        self.applied += 1;
        match order.order {
            OrderKind::LoadModel => {
                self.models.insert(order.name);
            }
            OrderKind::LoadAdapter => {
                self.adapters.insert(order.name);
            }
            OrderKind::LoadVersion => self.version = Some(order.name),
            OrderKind::SetRole => self.role = Some(order.name),
        }
        OrderResult::Applied
    }
}
