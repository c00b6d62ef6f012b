//! Verification of the results of a job.

use std::collections::HashMap;

use dogwoodtray_standin::check_answer;
use serde_json::Value;

use crate::ItemCounts;
use crate::plan::ChatRequest;

/// JSON pointers to the answer text in a result line, in order of preference.
const CONTENT_POINTERS: [&str; 2] =
    ["/response/body/choices/0/message/content", "/body/choices/0/message/content"];

/// Checks that each item has exactly one result with the expected text.
///
/// Returns the items by result and the number of tokens of the complete and correct items.
pub(crate) fn check_results(items: &[ChatRequest], lines: &str) -> (ItemCounts, u64) {
    let mut counts = ItemCounts::default();
    let mut tokens = 0;
    let mut pending: HashMap<&str, Option<&ChatRequest>> =
        items.iter().map(|item| (item.id.as_str(), Some(item))).collect();
    for line in lines.lines().filter(|line| !line.trim().is_empty()) {
        let result: Value = serde_json::from_str(line).unwrap_or_default();
        let id = result.get("custom_id").and_then(Value::as_str).unwrap_or_default();
        let Some(pending_item) = pending.get_mut(id) else {
            counts.unknown += 1;
            continue;
        };
        let Some(item) = pending_item.take() else {
            counts.duplicate += 1;
            continue;
        };
        match content(&result) {
            Some(text) if check_answer(item.prompt, item.tokens, text).is_ok() => {
                counts.whole += 1;
                tokens += item.tokens;
            }
            Some(_) => counts.wrong += 1,
            None => counts.failed += 1,
        }
    }
    counts.missing = pending.values().flatten().count() as u64;
    (counts, tokens)
}

fn content(result: &Value) -> Option<&str> {
    CONTENT_POINTERS.iter().find_map(|pointer| result.pointer(pointer)?.as_str())
}
