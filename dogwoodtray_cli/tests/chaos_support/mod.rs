//! Fault injection for separate processes, and the oracle that checks a run.

pub(crate) mod callers;
#[allow(dead_code, reason = "the soak test uses the rest")]
pub(crate) mod child;
pub(crate) mod drain;
pub(crate) mod faults;
pub(crate) mod fleet;
#[allow(dead_code, reason = "some fields are only printed with a violation")]
pub(crate) mod history;
pub(crate) mod http;
pub(crate) mod jobs;
pub(crate) mod measure;
pub(crate) mod observer;
pub(crate) mod oracle;
pub(crate) mod publish;
#[allow(dead_code, reason = "the soak test uses the rest")]
pub(crate) mod relay;
pub(crate) mod run;
