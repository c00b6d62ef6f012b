//! Hosts that had batch routes without a key until recently.

use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use crate::model::SiteConfig;

/// Time in which a job that was accepted on an open route may be submitted again after its route came to
/// need a key. Callers do so within seconds.
const RESUBMISSION_TIME: Duration = Duration::from_secs(60);

/// Hosts whose jobs everyone could submit by a configuration that was replaced recently.
#[derive(Debug, Default)]
pub(crate) struct OpenHosts {
    closed_at: HashMap<Name, Timestamp>,
}

impl OpenHosts {
    /// Records the hosts of a configuration that is replaced.
    pub(crate) fn on_replaced(&mut self, now: Timestamp, config: &SiteConfig) {
        self.closed_at.retain(|_, at| now - *at < RESUBMISSION_TIME);
        let open = config.routes().iter().filter(|route| route.has_anonymous_jobs());
        self.closed_at.extend(open.map(|route| (Name::clone(&route.host), now)));
    }

    /// Returns `true` if a job that is submitted again may have been accepted on an open route of this
    /// host before.
    pub(crate) fn was_open(&self, now: Timestamp, host: &str) -> bool {
        self.closed_at.get(host).is_some_and(|at| now - *at < RESUBMISSION_TIME)
    }
}
