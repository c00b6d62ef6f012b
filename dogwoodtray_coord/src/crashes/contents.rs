//! Contents of a request.

use crate::ContentHash;

/// What a request consists of, by which it is recognized when it or a part of it comes again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Contents {
    /// Hash of the whole request.
    pub request: ContentHash,
    /// Hashes of the parts of its prompt that other requests may share.
    pub parts: Vec<ContentHash>,
}

impl Contents {
    /// Creates the contents of a request with one prompt prefix, or without one if its hash is 0.
    #[must_use]
    pub fn with_prefix(request: ContentHash, prefix: u64) -> Self {
        let prefix = (prefix != 0).then_some(ContentHash(prefix));
        Self { request, parts: prefix.into_iter().collect() }
    }

    /// Returns all hashes.
    pub fn iter(&self) -> impl Iterator<Item = ContentHash> + '_ {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }

    /// Returns `true` if the content is the whole request or a part of it.
    #[must_use]
    pub fn contains(&self, content: ContentHash) -> bool {
        self.request == content || self.parts.contains(&content)
    }
}
