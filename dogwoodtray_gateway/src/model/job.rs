//! Items and results of batch jobs.

use bytes::Bytes;
use dogwoodtray_coord::Name;

/// One request of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobItem {
    /// Id of the item.
    pub id: Name,
    /// Path of the request to the endpoint.
    pub path: String,
    /// Headers that are forwarded to the endpoint unchanged.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Bytes,
    /// Tokens of the prompt and the maximum output, summed; at most [`MAX_ITEM_TOKENS`].
    pub tokens: u64,
}

/// Maximum number of tokens that counts for an item. Callers may state any number.
pub const MAX_ITEM_TOKENS: u64 = 1 << 32;

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// The endpoint sent a complete response.
    Completed,
    /// The item was abandoned without a complete response.
    Failed,
}

/// Result of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// Id of the item.
    pub item: Name,
    /// Final state of the item.
    pub state: ItemState,
    /// Data of all events, separated by line feeds.
    pub output: String,
}

/// Page of the results of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage {
    /// Number of items in the job.
    pub total: u32,
    /// Position after the last result of the page.
    pub next: u32,
    /// Results in order of position.
    pub results: Vec<ItemResult>,
}
