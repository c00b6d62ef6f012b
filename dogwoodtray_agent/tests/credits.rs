//! Offers of batch places.

mod common;

use std::time::Duration;

use common::online_work;
use dogwoodtray_agent::AgentAction;
use dogwoodtray_agent::AgentConfig;
use dogwoodtray_agent::AgentCore;
use dogwoodtray_agent::AgentEvent;
use dogwoodtray_agent::AgentMessage;
use dogwoodtray_agent::Backlog;
use dogwoodtray_agent::EntryLinkId;
use dogwoodtray_agent::Work;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionConfig;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_policy::admission_policy;

const PEER: EntryLinkId = EntryLinkId(1);

fn batch_work(counter: u64) -> Work {
    Work {
        attempt: AttemptId { incarnation: Incarnation(7), counter },
        request: Name::from("job.0"),
        class: Class::Batch,
        model: Name::from("m"),
        cost: Cost { prompt_tokens: 1, output_tokens: 5 },
        ..online_work(counter)
    }
}

/// Handles the event and returns the numbers of places in the resulting offers.
fn handle(core: &mut AgentCore, now: Timestamp, event: AgentEvent) -> Vec<u32> {
    let mut out = Vec::new();
    core.handle(now, event, &mut out);
    let places = |action| match action {
        AgentAction::Send { message: AgentMessage::Credit { places }, .. } => Some(places),
        _ => None,
    };
    out.into_iter().filter_map(places).collect()
}

/// Guards against the loss of places when an offer is made while an earlier one is open. An entry
/// keeps only the latest offer, so each offer must include all open places.
#[test]
fn new_offer_includes_places_of_open_offer() {
    let cfg = AgentConfig {
        node: Name::from("agent-1"),
        incarnation: Incarnation(1),
        models: vec![Name::from("m")],
        stall_timeout: Duration::from_secs(10),
    };
    let places = 8;
    let policy = AdmissionConfig { max_places: places, min_places: places, ..Default::default() };
    let admission = admission_policy("fixed-limit", policy).expect("a policy of this name");
    let mut core = AgentCore::new(cfg, admission);
    let now = Timestamp(1_000);
    handle(&mut core, now, AgentEvent::PeerUp { peer: PEER });
    let backlog = vec![Backlog { model: Name::from("m"), items: 100, slack_ms: 0 }];
    let first_offers = handle(&mut core, now, AgentEvent::PeerBacklog { peer: PEER, backlog });
    let [open_places] = first_offers[..] else {
        panic!("expected one offer, got {first_offers:?}")
    };

    // One item uses a place. Its cancellation frees the place.
    let dispatch = AgentEvent::Dispatch { peer: PEER, work: batch_work(1) };
    assert_eq!(handle(&mut core, now, dispatch), Vec::<u32>::new());
    let attempt = AttemptId { incarnation: Incarnation(7), counter: 1 };
    handle(&mut core, now, AgentEvent::Cancel { attempt });
    let event = dogwoodtray_agent::EndpointEvent::Aborted;
    let second_offers = handle(&mut core, now, AgentEvent::Endpoint { attempt, event });
    assert_eq!(second_offers, [open_places]);
}
