//! Deterministic answers that are derived from the prompt.

use std::error::Error;
use std::fmt;
use std::fmt::Write;

use dogwoodtray_coord::ContentHash;
use serde_json::Value;

/// Error returned for a request without a valid prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptError {
    /// The field `messages` is missing, not a list, or empty.
    NoMessages,
    /// The `content` of a message is missing or not a string.
    NoContent,
}

impl fmt::Display for PromptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoMessages => "messages must be a list that is not empty",
            Self::NoContent => "each message needs a text in content",
        })
    }
}

impl Error for PromptError {}

/// Joins the contents of the messages of a chat request.
///
/// # Errors
///
/// Returns an error if the messages or the content of a message are missing.
pub(crate) fn prompt_text(body: &Value) -> Result<String, PromptError> {
    let messages = body.get("messages").and_then(Value::as_array).map(Vec::as_slice);
    let messages = messages.filter(|list| !list.is_empty()).ok_or(PromptError::NoMessages)?;
    let mut prompt = String::new();
    for message in messages {
        let content = message.get("content").and_then(Value::as_str);
        prompt.push_str(content.ok_or(PromptError::NoContent)?);
        prompt.push('\n');
    }
    Ok(prompt)
}

/// Hash of a prompt, which determines each token of the answer.
///
/// # Examples
///
/// ```
/// use dogwoodtray_standin::PromptHash;
/// use serde_json::json;
///
/// let body = json!({ "messages": [{ "role": "user", "content": "slip 7" }] });
/// let prompt = PromptHash::of_body(&body).unwrap();
/// assert!(prompt.token(0).starts_with("t0-"));
/// assert_eq!(prompt.answer(2), prompt.token(0) + &prompt.token(1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptHash(pub u64);

impl PromptHash {
    /// Hashes the messages of a chat request. No other field affects the hash.
    ///
    /// # Errors
    ///
    /// Returns an error if the messages or the content of a message are missing.
    pub fn of_body(body: &Value) -> Result<Self, PromptError> {
        prompt_text(body).map(|prompt| Self::from_text(&prompt))
    }

    pub(crate) fn from_text(prompt: &str) -> Self {
        Self(ContentHash::of(prompt.as_bytes()).0)
    }

    /// Returns the text of the token with the given index.
    #[must_use]
    pub fn token(self, index: u64) -> String {
        let mut text = String::new();
        self.write_token(index, &mut text);
        text
    }

    /// Appends the text of the token with the given index.
    pub(crate) fn write_token(self, index: u64, text: &mut String) {
        let mut seed = [0; 16];
        seed[..8].copy_from_slice(&self.0.to_le_bytes());
        seed[8..].copy_from_slice(&index.to_le_bytes());
        let suffix = ContentHash::of(&seed).0 & 0xff_ffff;
        // Writing to a string can't fail.
        let _ = write!(text, "t{index}-{suffix:06x} ");
    }

    /// Returns the text of an answer with the given number of tokens.
    #[must_use]
    pub fn answer(self, tokens: u64) -> String {
        let mut text = String::new();
        for index in 0..tokens {
            self.write_token(index, &mut text);
        }
        text
    }
}

/// Difference between an answer and the expected answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The text is a proper prefix of the expected answer.
    Truncated {
        /// Length of the text in bytes.
        at: usize,
    },
    /// The text differs from the expected answer or continues after its end.
    Wrong {
        /// Offset of the first byte that differs.
        at: usize,
    },
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated { at } => write!(f, "answer ends too early, after {at} bytes"),
            Self::Wrong { at } => write!(f, "answer is wrong from byte {at} on"),
        }
    }
}

impl Error for AnswerFault {}

/// Checks that a text is the complete answer to a prompt.
///
/// # Errors
///
/// Returns the first difference from the expected answer.
///
/// # Examples
///
/// ```
/// use dogwoodtray_standin::AnswerFault;
/// use dogwoodtray_standin::PromptHash;
/// use dogwoodtray_standin::check_answer;
///
/// let prompt = PromptHash(7);
/// assert_eq!(check_answer(prompt, 3, &prompt.answer(3)), Ok(()));
/// let short = prompt.answer(2);
/// let fault = AnswerFault::Truncated { at: short.len() };
/// assert_eq!(check_answer(prompt, 3, &short), Err(fault));
/// ```
pub fn check_answer(prompt: PromptHash, tokens: u64, text: &str) -> Result<(), AnswerFault> {
    let expected = prompt.answer(tokens);
    if text == expected {
        return Ok(());
    }
    if expected.starts_with(text) {
        return Err(AnswerFault::Truncated { at: text.len() });
    }
    let matching = expected.bytes().zip(text.bytes()).take_while(|(a, b)| a == b).count();
    Err(AnswerFault::Wrong { at: matching })
}
