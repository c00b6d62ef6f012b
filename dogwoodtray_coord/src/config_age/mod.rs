//! Proven age of the configuration.
//!
//! A [`Proof`] states that the store had acknowledged no configuration newer than a generation when
//! a read of it began. A process that holds at least this generation knows all keys that had been
//! revoked by then. [`ConfigAge`] keeps the newest such proof, decides whether it is recent enough
//! to accept keys, and when to obtain another one from a peer or from the store.

mod machine;
mod pacing;
#[cfg(test)]
mod tests;

pub use self::machine::ConfigAge;
pub use self::machine::Due;
pub use self::machine::PeerCheck;
pub use self::machine::Proof;
pub use self::machine::ProofResult;
pub use self::machine::Unproven;
pub use self::pacing::AgeTiming;
pub use self::pacing::Proofs;
