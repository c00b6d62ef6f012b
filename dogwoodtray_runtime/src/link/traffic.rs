//! Metrics of frames and bytes on links.

use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::frame::Kind;
use metrics::Counter;
use metrics::counter;
use prost::Message;

/// Size of the length prefix of each frame.
const LENGTH_BYTES: u64 = 4;

/// Traffic counters of one direction. Control frames are counted separately from requests and
/// answers, because only control traffic has a budget.
pub(super) struct TrafficCounters {
    control_frames: Counter,
    control_bytes: Counter,
    data_frames: Counter,
    data_bytes: Counter,
}

impl TrafficCounters {
    pub(super) fn new(direction: &'static str) -> Self {
        let frames = |class: &'static str| counter!("dogwoodtray_link_frames_total", "direction" => direction, "class" => class);
        let bytes = |class: &'static str| counter!("dogwoodtray_link_bytes_total", "direction" => direction, "class" => class);
        Self {
            control_frames: frames("control"),
            control_bytes: bytes("control"),
            data_frames: frames("data"),
            data_bytes: bytes("data"),
        }
    }

    pub(super) fn count(&self, frame: &Frame) {
        let bytes = frame.encoded_len() as u64 + LENGTH_BYTES;
        if is_data(frame) {
            self.data_frames.increment(1);
            self.data_bytes.increment(bytes);
        } else {
            self.control_frames.increment(1);
            self.control_bytes.increment(bytes);
        }
    }
}

const fn is_data(frame: &Frame) -> bool {
    matches!(
        frame.kind,
        Some(
            Kind::Dispatch(_)
                | Kind::Started(_)
                | Kind::Chunk(_)
                | Kind::Done(_)
                | Kind::Cancel(_)
                | Kind::Reattach(_)
                | Kind::Ack(_)
        )
    )
}
