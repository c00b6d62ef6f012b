//! Items and results of batch jobs.

use bytes::Bytes;
use dogwoodtray_coord::Name;

/// One request of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobItem {
    /// Id of the item.
    pub id: Name,
    /// Path at the endpoint.
    pub path: String,
    /// Headers that go to the endpoint unchanged.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Bytes,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// The endpoint answered in full.
    Completed,
    /// The item was given up.
    GivenUp,
}

/// Result of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// Id of the item.
    pub item: Name,
    /// How it ended.
    pub state: ItemState,
    /// Data of all events, separated by line feeds.
    pub output: String,
}

/// Results of a job from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage {
    /// Count of items of the job.
    pub total: u32,
    /// Position after the last result of the page.
    pub next: u32,
    /// Results in order of position.
    pub results: Vec<ItemResult>,
}
