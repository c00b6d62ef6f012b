//! Catalogue of numbered events. A test checks that `docs/events.md` lists the same events.

use super::EventCode;
use super::Level;

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        $(
            $(#[$doc])*
            pub const $name: EventCode =
                EventCode { number: $number, level: Level::$level, text: $text };
        )*

        /// All events, in ascending order of number.
        pub const ALL: &[&EventCode] = &[$(&$name),*];
    };
}

catalogue! {
    /// The process has started to serve.
    PROCESS_STARTED = 1001, Info, "process started";
    /// A graceful shutdown began.
    DRAIN_STARTED = 1002, Info, "drain started";
    /// A graceful shutdown ended.
    DRAIN_FINISHED = 1003, Info, "drain finished";
    /// A graceful shutdown is waiting for running work to finish.
    DRAIN_WAITING = 1004, Info, "drain waits for running work";
    /// The drain reached its time limit with work still running.
    DRAIN_TIMEOUT = 1005, Warn, "drain timed out with work still running";

    /// A link was established.
    LINK_UP = 1101, Info, "link up";
    /// A link ended.
    LINK_DOWN = 1102, Warn, "link down";
    /// A peer announced that it is leaving.
    PEER_LEAVING = 1103, Info, "peer is leaving";
    /// A frame was dropped because its attempt is unknown.
    STALE_FRAME = 1104, Debug, "frame of an unknown attempt dropped";

    /// A request was accepted.
    REQUEST_ACCEPTED = 2001, Debug, "request accepted";
    /// An attempt was dispatched.
    ATTEMPT_DISPATCHED = 2002, Debug, "attempt dispatched";
    /// An attempt was forwarded to an endpoint.
    ATTEMPT_STARTED = 2003, Debug, "attempt started";
    /// An attempt ended.
    ATTEMPT_ENDED = 2004, Debug, "attempt ended";
    /// A request was answered.
    REQUEST_ANSWERED = 2005, Debug, "request answered";
    /// A request was rejected or failed.
    REQUEST_REFUSED = 2006, Info, "request refused";
    /// A request is retried.
    REQUEST_RETRIED = 2007, Info, "request retried";
    /// A second attempt was started in parallel to a slow one.
    REQUEST_HEDGED = 2008, Debug, "request hedged";
    /// An attempt was continued on a new link.
    ATTEMPT_REATTACHED = 2009, Info, "attempt reattached";
    /// A request was rejected because two endpoints crashed while running it.
    /// A caller disconnected before it had received the complete response.
    CALLER_GONE = 2011, Debug, "caller disconnected";
    /// A stream was moved from a slow endpoint and resumed on another one.
    REQUEST_MOVED = 2012, Info, "stream resumed away from a slow endpoint";

    /// A routed request was answered in full.
    ROUTED_ANSWERED = 2013, Info, "routed request answered";
    /// A routed request was rejected, was interrupted or timed out.
    ROUTED_FAILED = 2014, Info, "routed request not answered in full";
    /// An endpoint broke off an exchange before its end.
    RUN_BROKEN_OFF = 2015, Info, "run broken off by its endpoint";
    /// A run broke off because its endpoint crashed.
    ENDPOINT_CRASHED = 2016, Warn, "endpoint crashed during a run";
    /// Requests with a content that crashes endpoints are not run any more.
    CONTENT_BLOCKED = 2017, Warn, "content blocked";
    /// A request with a blocked content runs as a trial.
    CONTENT_TRIED = 2018, Info, "blocked content is tried";
    /// A blocked content was found innocent.
    CONTENT_CLEARED = 2019, Info, "content cleared";
    /// An endpoint crashed while it ran a request with a blocked content.
    BLOCKED_CONTENT_CRASHED = 2020, Warn, "blocked content crashed an endpoint again";
    /// A request was not run because of a blocked content.
    REQUEST_BLOCKED = 2021, Info, "request has a blocked content";

    /// An endpoint said in an answer that it is leaving.
    ENDPOINT_LEAVING = 2022, Info, "endpoint is leaving";
    /// A request or item no longer waits for a place of its service.
    SERVICE_LEFT = 2023, Info, "waiting request left its service";
    /// A trial of blocked contents ended.
    TRIAL_ENDED = 2024, Info, "trial of blocked contents ended";
    /// The key of a request is missing, malformed or unknown.
    KEY_REJECTED = 2025, Debug, "key rejected";
    /// An organization reached its limit, and this process refuses its requests.
    ORGANIZATION_LIMITED = 2026, Info, "limit of an organization reached";
    /// No request of an organization has been refused for a while.
    ORGANIZATION_UNLIMITED = 2027, Info, "organization is within its limit again";

    /// A job was accepted.
    JOB_ACCEPTED = 3001, Info, "job accepted";
    /// A job was cancelled.
    JOB_CANCELLED = 3002, Info, "job cancelled";
    /// A job finished.
    JOB_FINISHED = 3003, Info, "job finished";
    /// A job was claimed.
    JOB_CLAIMED = 3004, Info, "job claimed";
    /// A write was rejected because another entry owns the job now.
    JOB_FENCED = 3005, Warn, "job taken over by another entry";
    /// A job was rejected.
    JOB_REFUSED = 3006, Info, "job refused";

    /// A run of an item failed or was interrupted, and the item is run again.
    ITEM_RETRIED = 3007, Info, "item is run again";
    /// An item failed permanently, without an answer.
    ITEM_GIVEN_UP = 3008, Info, "item given up";
    /// An item is not run for now because of a blocked content.
    ITEM_HELD = 3009, Info, "item is held for a blocked content";
    /// An item counts as complete because several runs in turn had no further event.
    ITEM_COMPLETED_BY_EMPTY_RUNS = 3010, Info, "item is complete after empty runs";
    /// A call for a job found none that its caller may use.
    JOB_NOT_FOUND = 3011, Debug, "no job for a call";

    /// A key range was claimed.
    RANGE_CLAIMED = 3101, Info, "key range claimed";
    /// Another entry claimed a key range that this process owned.
    RANGE_FENCED = 3102, Warn, "key range taken over by another entry";
    /// A resent request was answered from the stored record of the first one.
    ONCE_REPLAYED = 3103, Info, "answer replayed from its record";
    /// A resent request was rejected because the first one may have run.
    ONCE_UNKNOWN = 3104, Warn, "request may have run and will not be run again";

    /// A request was forwarded to the endpoint.
    WORK_FORWARDED = 4001, Debug, "work forwarded to the endpoint";
    /// Work was rejected before it was forwarded.
    WORK_REFUSED = 4002, Debug, "work refused";
    /// Batch work was preempted for online work.
    WORK_PREEMPTED = 4003, Debug, "batch work preempted";
    /// The endpoint is down.
    ENDPOINT_DOWN = 4004, Error, "endpoint down";
    /// The endpoint responds again.
    ENDPOINT_UP = 4005, Info, "endpoint up";
    /// A dispatch was rejected because of an outdated fencing token.
    DISPATCH_FENCED = 4006, Warn, "dispatch with an old fencing token refused";
    /// An attempt was cancelled because its entry did not reconnect.
    ATTEMPT_ORPHANED = 4007, Info, "attempt cancelled because its entry stayed away";

    /// A configuration generation was applied.
    CONFIG_APPLIED = 5001, Info, "configuration applied";
    /// A configuration snapshot was invalid and was rejected.
    CONFIG_REJECTED = 5002, Error, "configuration snapshot rejected";
    /// The list of endpoints changed.
    ENDPOINTS_CHANGED = 5003, Info, "endpoints changed";
    /// An entry in the list of endpoints names no endpoint.
    ENTRY_IGNORED = 5004, Warn, "entry names no endpoint";
    /// The proof that the configuration is the newest is too old; no keys are accepted.
    CONFIG_UNPROVEN = 5005, Warn, "age of the configuration exceeds its bound";
    /// The configuration is proven to be the newest; keys are accepted.
    CONFIG_PROVEN = 5006, Info, "age of the configuration is within its bound";
    /// The name of an organization cannot be sent to endpoints, so none of its requests runs.
    ORGANIZATION_UNSENDABLE = 5007, Warn, "name of an organization cannot be sent";
    /// The platform is unreachable.
    PLATFORM_DOWN = 5101, Warn, "platform unavailable";
    /// The platform is reachable again.
    PLATFORM_UP = 5102, Info, "platform available";
    /// A VM is to be drained for its retirement.
    RETIREMENT_STARTED = 5201, Info, "retirement of a VM started";
    /// The state of a retirement was written to the store.
    RETIREMENT_RECORDED = 5202, Info, "retirement of a VM recorded";
    /// A VM with the last driver is not drained until there is another one.
    RETIREMENT_WAITS = 5203, Warn, "retirement waits for another driver";
}
