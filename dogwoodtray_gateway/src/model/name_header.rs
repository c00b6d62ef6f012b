//! Names that are sent in headers.

use hyper::header::HeaderValue;

/// Maximum length of a name. Servers limit the size of a request head.
const MAX_NAME_BYTES: usize = 1_024;

/// Returns the value of a header that holds a name. Returns `None` if the name cannot be sent, or
/// would arrive changed.
pub(crate) fn name_header(name: &str) -> Option<HeaderValue> {
    // A receiver strips white space around a value.
    let is_kept = !name.is_empty() && name.trim() == name && name.len() <= MAX_NAME_BYTES;
    is_kept.then(|| HeaderValue::from_str(name).ok()).flatten()
}
