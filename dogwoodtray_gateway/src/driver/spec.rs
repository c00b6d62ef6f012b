//! Objects of a job in the store.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::model::BatchTerms;
use crate::model::JobItem;
use crate::model::Route;

/// Largest specification that is written as one object. The store holds values of 1 MB.
const MAX_OBJECT_BYTES: usize = 700 * 1024;

/// Submission of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JobSpec {
    /// Route on which the job was submitted.
    pub(crate) route: Name,
    /// Host of the route.
    pub(crate) host: Name,
    /// Wall time of the acceptance in milliseconds since the Unix epoch.
    pub(crate) accepted_unix_ms: u64,
    /// Time in which all results are due, in milliseconds.
    pub(crate) target_ms: u64,
    /// Time at which an item may be given up, in milliseconds.
    pub(crate) retention_ms: u64,
    /// Failures after which an item is given up.
    pub(crate) max_attempts: u32,
    /// Count of items.
    pub(crate) total: u32,
    /// Count of further objects that hold the items; 0 if they stand here.
    pub(crate) parts: u32,
    /// Items.
    pub(crate) items: Vec<StoredItem>,
}

/// Item as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoredItem {
    id: Name,
    path: String,
    headers: Vec<(String, String)>,
    /// Body in base64.
    body: String,
}

/// Results that one write adds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Segment {
    /// Incarnation of the process that wrote it.
    pub(crate) writer: u64,
    /// Results in order of position.
    pub(crate) results: Vec<StoredResult>,
}

/// Result as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredResult {
    /// Id of the item.
    pub(crate) item: Name,
    /// Whether the endpoint answered in full.
    pub(crate) completed: bool,
    /// Data of all events.
    pub(crate) output: String,
}

/// Status of a job.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct JobStatus {
    /// Whether all items have a result.
    pub(crate) finished: bool,
}

impl JobSpec {
    pub(crate) fn new(
        route: &Route,
        terms: BatchTerms,
        accepted_unix_ms: u64,
        items: Vec<JobItem>,
    ) -> Self {
        let millis =
            |time: std::time::Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self {
            route: Name::clone(&route.name),
            host: Name::clone(&route.host),
            accepted_unix_ms,
            target_ms: millis(terms.completion_target),
            retention_ms: millis(terms.retention),
            max_attempts: route.max_attempts,
            total: u32::try_from(items.len()).unwrap_or(u32::MAX),
            parts: 0,
            items: items.into_iter().map(StoredItem::new).collect(),
        }
    }

    /// Encodes the submission, and the further objects that it needs if it is large.
    pub(crate) fn encode(mut self) -> (String, Vec<String>) {
        let whole = encode(&self);
        if whole.len() <= MAX_OBJECT_BYTES {
            return (whole, Vec::new());
        }
        let mut parts = Vec::new();
        let mut part = Vec::new();
        let mut bytes = 0;
        for item in std::mem::take(&mut self.items) {
            let size = item.body.len();
            if bytes + size > MAX_OBJECT_BYTES && !part.is_empty() {
                parts.push(encode(&part));
                part.clear();
                bytes = 0;
            }
            bytes += size;
            part.push(item);
        }
        parts.push(encode(&part));
        self.parts = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        (encode(&self), parts)
    }

    pub(crate) fn part_name(job: &Name, part: u32) -> Name {
        numbered(job, part)
    }
}

impl Segment {
    pub(crate) fn name(job: &Name, number: u32) -> Name {
        numbered(job, number)
    }

    pub(crate) fn encode(&self) -> String {
        encode(self)
    }
}

impl StoredItem {
    fn new(item: JobItem) -> Self {
        let body = STANDARD.encode(&item.body);
        Self { id: item.id, path: item.path, headers: item.headers, body }
    }

    /// Decodes the item; `None` if its body is damaged.
    pub(crate) fn decode(self) -> Option<JobItem> {
        let body = Bytes::from(STANDARD.decode(self.body).ok()?);
        Some(JobItem { id: self.id, path: self.path, headers: self.headers, body })
    }
}

/// Names one of several objects of a job within their kind.
fn numbered(job: &Name, number: u32) -> Name {
    Name::from(format!("{job}.{number}"))
}

pub(crate) fn encode<T: Serialize>(value: &T) -> String {
    // Serialization to memory fails only for maps with keys that are not strings or numbers.
    let text = serde_json::to_string(value).unwrap_or_default();
    debug_assert!(!text.is_empty(), "objects of a job are serializable");
    text
}
