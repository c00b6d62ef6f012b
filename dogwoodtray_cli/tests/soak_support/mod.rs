//! Fault injection for the gateways and drivers, and the oracle that checks a run.

#[path = "../chaos_support/child.rs"]
#[allow(dead_code, reason = "the chaos test uses the rest")]
pub(crate) mod child;
pub(crate) mod faults;
pub(crate) mod fleet;
#[allow(dead_code, reason = "some fields are only printed with a violation")]
pub(crate) mod history;
pub(crate) mod jobs;
pub(crate) mod load;
pub(crate) mod oracle;
#[path = "../chaos_support/relay.rs"]
#[allow(dead_code, reason = "the chaos test uses the rest")]
pub(crate) mod relay;
pub(crate) mod run;
#[path = "../../../platform/tests/standin/mod.rs"]
pub(crate) mod standin;
