//! Output of an unfinished item.

use dogwoodtray_coord::Name;
use dogwoodtray_http::ByteBudget;
use dogwoodtray_http::ByteLease;
use dogwoodtray_http::OutOfBytes;
use dogwoodtray_wire::messages;

/// Output of an item so far, as the data of its events.
#[derive(Debug)]
pub(super) struct Progress {
    data: Vec<String>,
    /// Size of `data`.
    bytes: usize,
    last_event_id: Option<u64>,
    lease: ByteLease,
}

/// What an event added to the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Appended {
    /// An event that follows the last one.
    Output,
    /// Nothing: the event is a duplicate, or has no data.
    Nothing,
    /// Nothing, as events before it are missing.
    Gap,
}

impl Progress {
    /// Creates an empty output.
    pub(super) fn new(buffers: &ByteBudget) -> Self {
        Self { data: Vec::new(), bytes: 0, last_event_id: None, lease: buffers.lease() }
    }

    /// Creates the output that another driver sent. Returns an error if there is no buffer for it.
    pub(super) fn received(
        buffers: &ByteBudget,
        data: Vec<String>,
        last_event_id: u64,
    ) -> Result<Self, OutOfBytes> {
        let bytes = data.iter().map(String::len).sum();
        let last_event_id = Some(last_event_id);
        let mut progress = Self { data, bytes, last_event_id, lease: buffers.lease() };
        progress.reserve(0)?;
        Ok(progress)
    }

    /// Discards all events.
    pub(super) fn clear(&mut self) {
        self.data.clear();
        self.bytes = 0;
        self.last_event_id = None;
        self.lease.shrink_to(0);
    }

    /// Reserves the bytes of the output, and those of an incomplete event after it.
    pub(super) fn reserve(&mut self, incomplete: usize) -> Result<(), OutOfBytes> {
        self.lease.resize(self.bytes + incomplete)
    }

    /// Returns the id of the last event.
    pub(super) const fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Returns the size of the output in bytes.
    pub(super) const fn output_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of events with data.
    pub(super) const fn event_count(&self) -> usize {
        self.data.len()
    }

    /// Appends an event unless it is a duplicate. One without data is ignored, whatever its id.
    pub(super) fn append(&mut self, id: Option<u64>, data: Option<String>) -> Appended {
        let Some(data) = data else { return Appended::Nothing };
        if let (Some(last_event_id), Some(id)) = (self.last_event_id, id) {
            if id <= last_event_id {
                return Appended::Nothing;
            }
            if id != last_event_id + 1 {
                return Appended::Gap;
            }
        }
        self.last_event_id = id.or(self.last_event_id);
        self.bytes += data.len();
        self.data.push(data);
        Appended::Output
    }

    /// Returns the data of all events, joined by line feeds.
    pub(super) fn output(&self) -> String {
        self.data.join("\n")
    }

    /// Returns the message that sends the output to another driver, or `None` if no event had an
    /// id.
    pub(super) fn to_message(&self, job: &Name, item: &Name) -> Option<messages::ItemProgress> {
        Some(messages::ItemProgress {
            job: job.to_string(),
            item: item.to_string(),
            last_event: self.last_event_id?,
            data: self.data.clone(),
        })
    }
}
