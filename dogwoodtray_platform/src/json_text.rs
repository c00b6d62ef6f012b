//! JSON texts in which another writer has put bytes that cannot be read.

use std::borrow::Cow;

use serde::de::DeserializeOwned;

/// Number of digits after `\u`.
const ESCAPE_DIGITS: usize = 4;

/// Decodes a JSON text. Bytes in its strings that may not stand there count as U+FFFD, so that those of
/// one object hide no other one.
///
/// # Errors
///
/// Returns an error if the text is no JSON all the same, or not of the expected structure.
///
/// # Examples
///
/// ```
/// use dogwoodtray_platform::decode_json;
///
/// let names: Vec<String> = decode_json(b"[\"a\", \"b\x01\"]")?;
/// assert_eq!(names, ["a", "b\u{fffd}"]);
/// # Ok::<(), serde_json::Error>(())
/// ```
pub fn decode_json<T: DeserializeOwned>(bytes: &[u8]) -> serde_json::Result<T> {
    serde_json::from_slice(bytes).or_else(|err| match readable(bytes) {
        Cow::Borrowed(_) => Err(err),
        Cow::Owned(text) => serde_json::from_str(&text),
    })
}

/// Returns `true` if bytes that cannot be read were replaced in a text.
#[must_use]
pub fn has_unreadable_bytes(text: &str) -> bool {
    text.contains(char::REPLACEMENT_CHARACTER)
}

/// Replaces what may not stand in the strings of a JSON text: bytes that are no UTF-8, control
/// characters, and backslashes that begin no escape.
fn readable(bytes: &[u8]) -> Cow<'_, str> {
    let text = String::from_utf8_lossy(bytes);
    let mut replaced = String::with_capacity(text.len());
    let mut in_string = false;
    let mut rest = text.chars();
    while let Some(char) = rest.next() {
        match char {
            '"' => {
                in_string = !in_string;
                replaced.push(char);
            }
            '\\' if in_string => match escape_len(rest.as_str()) {
                Some(len) => {
                    replaced.push(char);
                    replaced.extend(rest.by_ref().take(len));
                }
                None => replaced.push(char::REPLACEMENT_CHARACTER),
            },
            _ if in_string && char.is_ascii_control() && char != '\x7f' => {
                replaced.push(char::REPLACEMENT_CHARACTER);
            }
            _ => replaced.push(char),
        }
    }
    if replaced == text && matches!(text, Cow::Borrowed(_)) {
        return text;
    }
    Cow::Owned(replaced)
}

/// Returns the length of the escape that follows a backslash, in characters, if there is one.
fn escape_len(rest: &str) -> Option<usize> {
    match rest.as_bytes().first()? {
        b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => Some(1),
        b'u' => {
            let digits = rest.as_bytes().get(1..=ESCAPE_DIGITS)?;
            digits.iter().all(u8::is_ascii_hexdigit).then_some(1 + ESCAPE_DIGITS)
        }
        _ => None,
    }
}
