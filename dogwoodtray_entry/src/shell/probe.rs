//! Probes that check whether a process still holds a claim.

use std::ops::ControlFlow;
use std::time::Duration;

use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::request_once;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::frame::Kind;

use super::EntryState;

pub(super) const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Probe from another entry for a claim of this process.
#[derive(Debug)]
pub(crate) struct ProbeRequest {
    pub(super) object: Name,
    pub(super) epoch: Epoch,
    link: LinkHandle,
}

impl ProbeRequest {
    pub(super) fn new(probe: messages::Probe, link: LinkHandle) -> Self {
        Self { object: probe.object.into(), epoch: Epoch(probe.epoch), link }
    }

    pub(super) fn reply(&self, held: bool) {
        let object = self.object.to_string();
        self.link.send(messages::ProbeReply { object, epoch: self.epoch.0, held });
    }
}

/// Sends a probe to the holder of a claim and returns whether it holds the claim, or `None` if
/// there was no reply.
pub(super) async fn probe(
    shared: &EntryState,
    addr: &str,
    holder: Incarnation,
    object: &str,
    epoch: Epoch,
) -> Option<bool> {
    let request = Frame::from(messages::Probe { object: object.to_owned(), epoch: epoch.0 });
    let mut same_process = true;
    let mut held = None;
    let on_hello = |hello: &messages::Hello| same_process = hello.incarnation == holder.0;
    let on_frame = |kind| match kind {
        Kind::ProbeReply(reply) => {
            held = Some(reply.held);
            ControlFlow::Break(())
        }
        _ => ControlFlow::Continue(()),
    };
    request_once(addr, shared.hello(), request, PROBE_TIMEOUT, on_hello, on_frame).await;
    // Another process at this address means that the holder has ended.
    if same_process { held } else { Some(false) }
}
