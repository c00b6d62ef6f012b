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
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl ByteBudget {
    /// Creates a limit in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Arc::default() }
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
    /// Returns an error, and leaves the size as it is, if the leases together would exceed the limit. A
    /// lease that is the only one may exceed it, so that a single large request is not refused for ever.
    pub fn resize(&mut self, bytes: usize) -> Result<(), OutOfBytes> {
        let used_by_others = self.budget.used().saturating_sub(self.bytes);
        let exceeds = used_by_others.saturating_add(bytes) > self.budget.limit;
        if bytes > self.bytes && exceeds && used_by_others > 0 {
            metrics::counter!("dogwoodtray_exhausted_buffers_total").increment(1);
            return Err(OutOfBytes::Exhausted);
        }
        self.set(bytes);
        Ok(())
    }

    /// Returns what exceeds this number of bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        self.set(bytes.min(self.bytes));
    }

    fn set(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.budget.used.fetch_add(bytes - self.bytes, Relaxed);
        } else {
            self.budget.used.fetch_sub(self.bytes - bytes, Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.set(0);
    }
}
