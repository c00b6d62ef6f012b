//! Limit of the bytes that a process buffers for its requests.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;

use quick_error::quick_error;

quick_error! {
    /// Error of a request for which a process may not buffer more bytes.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum OutOfBytes {
        /// The buffers of all requests together have reached the limit.
        Exhausted {
            display("the buffers of all requests have reached their limit")
        }
        /// The buffers of the requests that share a part of the limit have reached that part.
        PartExhausted {
            display("the buffers of these requests have reached their part of the limit")
        }
    }
}

/// Limit of the bytes that a process buffers, over all its requests.
///
/// Each request has a limit of its own where its bytes are read, but many requests together may still
/// exceed the memory of the process. Clones share the limit.
///
/// # Examples
///
/// ```
/// use dogwoodtray_http::ByteBudget;
///
/// let budget = ByteBudget::new(100);
/// let (mut first, mut second) = (budget.lease(), budget.lease());
/// first.resize(60).unwrap();
/// assert!(second.resize(60).is_err());
/// drop(first);
/// second.resize(60).unwrap();
/// ```
///
/// Requests that must not use all of it share a part:
///
/// ```
/// use dogwoodtray_http::ByteBudget;
///
/// let budget = ByteBudget::new(100);
/// let part = budget.part(25);
/// let (mut first, mut second, mut other) = (part.lease(), part.lease(), budget.lease());
/// first.resize(20).unwrap();
/// assert!(second.resize(20).is_err());
/// other.resize(80).unwrap();
/// ```
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
    /// Budget that this is a part of.
    whole: Option<Arc<Self>>,
}

impl ByteBudget {
    /// Creates a limit in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Arc::default(), whole: None }
    }

    /// Creates a limit for some of the requests, whose bytes count towards this one as well.
    #[must_use]
    pub fn part(&self, limit: usize) -> Self {
        Self { limit, used: Arc::default(), whole: Some(Arc::new(self.clone())) }
    }

    /// Returns the limit in bytes.
    #[must_use]
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Returns an error if a lease of `from` bytes may not grow to `to` bytes.
    fn check(&self, from: usize, to: usize) -> Result<(), OutOfBytes> {
        if let Some(whole) = &self.whole {
            whole.check(from, to)?;
        }
        let used_by_others = self.used().saturating_sub(from);
        if used_by_others == 0 || used_by_others.saturating_add(to) <= self.limit {
            return Ok(());
        }
        if self.whole.is_none() {
            metrics::counter!("dogwoodtray_exhausted_buffers_total").increment(1);
            return Err(OutOfBytes::Exhausted);
        }
        metrics::counter!("dogwoodtray_exhausted_buffer_parts_total").increment(1);
        Err(OutOfBytes::PartExhausted)
    }

    /// Replaces `from` used bytes by `to` bytes.
    fn replace(&self, from: usize, to: usize) {
        if to > from {
            self.used.fetch_add(to - from, Relaxed);
        } else {
            self.used.fetch_sub(from - to, Relaxed);
        }
        if let Some(whole) = &self.whole {
            whole.replace(from, to);
        }
    }

    /// Returns the number of bytes that are buffered now.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Relaxed)
    }

    /// Returns an empty lease for the buffer of one request.
    #[must_use]
    pub fn lease(&self) -> ByteLease {
        ByteLease { budget: self.clone(), bytes: 0 }
    }
}

/// Bytes that one request buffers. They are returned when the lease is dropped.
#[derive(Debug)]
pub struct ByteLease {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteLease {
    /// Returns the size of the lease in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the size of the lease in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the size as it is, if the leases together would exceed the limit, or
    /// the part that they share. A lease that is the only one may exceed it, so that a single large request is not refused for ever.
    pub fn resize(&mut self, bytes: usize) -> Result<(), OutOfBytes> {
        if bytes > self.bytes {
            self.budget.check(self.bytes, bytes)?;
        }
        self.set(bytes);
        Ok(())
    }

    /// Returns what exceeds this number of bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        self.set(bytes.min(self.bytes));
    }

    fn set(&mut self, bytes: usize) {
        self.budget.replace(self.bytes, bytes);
        self.bytes = bytes;
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.set(0);
    }
}
