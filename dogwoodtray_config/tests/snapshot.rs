//! Tests for the encoding of snapshots.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::SmallSet;
use dogwoodtray_config::DecodeError;
use dogwoodtray_config::EncodeError;
use dogwoodtray_config::MAX_ENCODED_BYTES;
use dogwoodtray_config::Snapshot;
use dogwoodtray_coord::Generation;
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against objects that change when a snapshot is encoded and decoded.
    fn snapshots_round_trip(first: SmallSet, second: SmallSet) -> bool {
        let snapshot = common::next(&common::next(&Snapshot::empty(), first.0), second.0);
        let encoded = snapshot.encode().unwrap();
        let again = snapshot.encode().unwrap();
        let (decoded, hash) = Snapshot::decode(&encoded.bytes).unwrap();
        decoded == snapshot && hash == encoded.hash && encoded == again
    }

    /// Guards against damaged bytes that are accepted or cause a panic. Every process reads the
    /// stored snapshot, so one damaged object could crash all of them.
    fn damaged_bytes_are_rejected(set: SmallSet, keep: usize) -> bool {
        let snapshot = common::next(&Snapshot::empty(), set.0);
        let encoded = snapshot.encode().unwrap();
        let is_rejected_or_equal = |offset: usize, bit: usize| {
            let mut damaged = encoded.bytes.to_vec();
            damaged[offset] ^= 1 << bit;
            // LZ4 has several encodings of the same content. A damaged encoding may be accepted if
            // the content is unchanged.
            Snapshot::decode(&damaged).map_or(true, |(decoded, _)| decoded == snapshot)
        };
        let truncated = &encoded.bytes[..keep % encoded.bytes.len()];
        let bits = (0..encoded.bytes.len()).flat_map(|offset| (0..8).map(move |bit| (offset, bit)));
        bits.into_iter().all(|(offset, bit)| is_rejected_or_equal(offset, bit)) && Snapshot::decode(truncated).is_err()
    }

    /// Guards against a delta whose result differs from the full snapshot. A process that receives
    /// the delta would then have other objects than its peers.
    fn delta_and_full_snapshot_give_the_same_result(sets: Vec<SmallSet>, from: usize) -> bool {
        let mut chain = vec![common::next(&Snapshot::empty(), common::models(&[("z", 1)]))];
        for set in sets {
            chain.push(common::next(&chain[chain.len() - 1], set.0));
        }
        let base = &chain[from % chain.len()];
        let last = &chain[chain.len() - 1];
        let base_hash = base.encode().unwrap().hash;
        let delta = last.encode_delta(base, base_hash).unwrap();
        let full = last.encode().unwrap();
        let expected = (last.clone(), full.hash);
        base.decode_update(base_hash, &delta.bytes).unwrap() == expected
            && base.decode_update(base_hash, &full.bytes).unwrap() == expected
    }

    /// Guards against arbitrary bytes that cause a panic or a large allocation in the decoder.
    fn arbitrary_bytes_are_rejected(bytes: Vec<u8>) -> bool {
        let mut with_header = b"DTCS\x01".to_vec();
        with_header.extend_from_slice(&bytes);
        Snapshot::decode(&bytes).is_err() && Snapshot::decode(&with_header).is_err()
    }
}

/// Guards against applying a delta to a snapshot other than its base.
#[test]
fn delta_from_another_base_is_rejected() {
    let base = common::next(&Snapshot::empty(), common::models(&[("a", 1)]));
    let other = common::next(&Snapshot::empty(), common::models(&[("a", 2)]));
    let last = common::next(&base, common::models(&[("a", 1), ("b", 1)]));
    let hash = |snapshot: &Snapshot| snapshot.encode().unwrap().hash;
    let delta = last.encode_delta(&base, hash(&base)).unwrap();
    let result = other.decode_update(hash(&other), &delta.bytes);
    assert!(matches!(result, Err(DecodeError::BaseMismatch { .. })));
    // The hash of the result is verified even if the given hash of the base is wrong.
    let result = other.decode_update(hash(&base), &delta.bytes);
    assert!(matches!(result, Err(DecodeError::HashMismatch { .. })));
}

/// Guards against allocating 4 GB because the content size in the header is damaged.
#[test]
fn oversized_content_is_rejected_before_allocation() {
    let mut bytes = common::next(&Snapshot::empty(), common::models(&[("a", 1)]))
        .encode()
        .unwrap()
        .bytes
        .to_vec();
    bytes[13..17].fill(0xff);
    assert!(matches!(Snapshot::decode(&bytes), Err(DecodeError::TooLarge { .. })));
}

/// Guards against encoding a set that is too large for the store to accept.
#[test]
fn set_above_the_store_limit_is_rejected() {
    // Distinct weights in each version prevent LZ4 from compressing the set below the limit.
    let version = |i: u64| {
        let weights: String = (0..8)
            .map(|j| format!("{:016x}", (i * 8 + j + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
            .collect();
        format!("[[version]]\nname='v{i}'\nmodel='m'\nweights='{weights}'\naccelerators=1\n")
    };
    let set = common::parse_set(&(0..9_000).map(version).collect::<String>());
    let result = common::next(&Snapshot::empty(), set).encode();
    assert!(matches!(result, Err(EncodeError::TooLarge { limit: MAX_ENCODED_BYTES, .. })));
}

/// Guards against conflicts for unchanged objects. A merge detects changes by the version of an
/// object, which must not increase while the object stays the same.
#[test]
fn object_version_is_the_generation_of_its_last_change() {
    let first = common::next(&Snapshot::empty(), common::models(&[("a", 1), ("b", 1)]));
    let second = common::next(&first, common::models(&[("a", 2), ("b", 1), ("c", 1)]));
    let versions = second.versions().into_values().collect::<Vec<_>>();
    assert_eq!(versions, [Generation(2), Generation(1), Generation(2)]);
}
