//! Rendezvous hashing of prompt prefixes to endpoints.

use slotmap::Key;

use super::EndpointKey;

/// Returns the rank of an endpoint for a prefix. The endpoint with the highest rank is preferred.
pub(super) fn rank(prefix: u64, key: EndpointKey) -> u64 {
    mix(prefix ^ mix(key.data().as_ffi()))
}

/// Mixes the bits of a number with the finalizer of SplitMix64.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
