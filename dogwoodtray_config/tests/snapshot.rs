//! Encoding of snapshots.

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
    /// Guards against a process that runs other objects than those that were published.
    fn snapshots_round_trip(first: SmallSet, second: SmallSet) -> bool {
        let snapshot = common::next(&common::next(&Snapshot::empty(), first.0), second.0);
        let encoded = snapshot.encode().unwrap();
        let again = snapshot.encode().unwrap();
        let (decoded, hash) = Snapshot::decode(&encoded.bytes).unwrap();
        decoded == snapshot && hash == encoded.hash && encoded == again
    }

    /// Guards against a crash of every process by one damaged object in the store.
    fn damaged_bytes_are_refused(set: SmallSet, keep: usize) -> bool {
        let snapshot = common::next(&Snapshot::empty(), set.0);
        let encoded = snapshot.encode().unwrap();
        let refused = |at: usize, bit: usize| {
            let mut damaged = encoded.bytes.to_vec();
            damaged[at] ^= 1 << bit;
            // LZ4 can express one content in several ways, but the content has to be the same.
            Snapshot::decode(&damaged).map_or(true, |(decoded, _)| decoded == snapshot)
        };
        let cut = &encoded.bytes[..keep % encoded.bytes.len()];
        let bits = (0..encoded.bytes.len()).flat_map(|at| (0..8).map(move |bit| (at, bit)));
        bits.into_iter().all(|(at, bit)| refused(at, bit)) && Snapshot::decode(cut).is_err()
    }

    /// Guards against a process that ends with other objects than its peers because it was sent
    /// the changes only.
    fn changes_lead_to_the_same_snapshot(sets: Vec<SmallSet>, from: usize) -> bool {
        let mut chain = vec![common::next(&Snapshot::empty(), common::models(&[("z", 1)]))];
        for set in sets {
            chain.push(common::next(&chain[chain.len() - 1], set.0));
        }
        let base = &chain[from % chain.len()];
        let last = &chain[chain.len() - 1];
        let base_hash = base.encode().unwrap().hash;
        let changes = last.encode_delta(base, base_hash).unwrap();
        let whole = last.encode().unwrap();
        let expected = (last.clone(), whole.hash);
        base.decode_update(base_hash, &changes.bytes).unwrap() == expected
            && base.decode_update(base_hash, &whole.bytes).unwrap() == expected
    }

    /// Guards against a panic or a huge allocation by bytes that never were a snapshot.
    fn foreign_bytes_are_refused(bytes: Vec<u8>) -> bool {
        let mut with_header = b"DTCS\x01".to_vec();
        with_header.extend_from_slice(&bytes);
        Snapshot::decode(&bytes).is_err() && Snapshot::decode(&with_header).is_err()
    }
}

/// Guards against changes that are applied to the objects of another generation.
#[test]
fn changes_to_another_snapshot_are_refused() {
    let base = common::next(&Snapshot::empty(), common::models(&[("a", 1)]));
    let other = common::next(&Snapshot::empty(), common::models(&[("a", 2)]));
    let last = common::next(&base, common::models(&[("a", 1), ("b", 1)]));
    let hash = |snapshot: &Snapshot| snapshot.encode().unwrap().hash;
    let changes = last.encode_delta(&base, hash(&base)).unwrap();
    let result = other.decode_update(hash(&other), &changes.bytes);
    assert!(matches!(result, Err(DecodeError::BaseMismatch { .. })));
    // The hash of the result holds even if the base lies about its own hash.
    let result = other.decode_update(hash(&base), &changes.bytes);
    assert!(matches!(result, Err(DecodeError::HashMismatch { .. })));
}

/// Guards against an allocation of 4 GB that a damaged size asks for.
#[test]
fn a_huge_size_is_refused_before_it_is_allocated() {
    let mut bytes = common::next(&Snapshot::empty(), common::models(&[("a", 1)]))
        .encode()
        .unwrap()
        .bytes
        .to_vec();
    bytes[13..17].fill(0xff);
    assert!(matches!(Snapshot::decode(&bytes), Err(DecodeError::TooLarge { .. })));
}

/// Guards against a set that is accepted here and refused by the store.
#[test]
fn a_set_above_the_limit_of_the_store_is_refused() {
    // Weights that differ in each version leave LZ4 little to compress.
    let version = |i: u64| {
        let weights: String = (0..8)
            .map(|j| format!("{:016x}", (i * 8 + j + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
            .collect();
        format!("[[version]]\nname='v{i}'\nmodel='m'\nweights='{weights}'\naccelerators=1\n")
    };
    let set = common::set_of(&(0..9_000).map(version).collect::<String>());
    let result = common::next(&Snapshot::empty(), set).encode();
    assert!(matches!(result, Err(EncodeError::TooLarge { limit: MAX_ENCODED_BYTES, .. })));
}

/// Guards against a conflict that is reported for an object that nobody changed.
#[test]
fn the_version_of_an_object_is_the_generation_of_its_last_change() {
    let first = common::next(&Snapshot::empty(), common::models(&[("a", 1), ("b", 1)]));
    let second = common::next(&first, common::models(&[("a", 2), ("b", 1), ("c", 1)]));
    let versions = second.versions().into_values().collect::<Vec<_>>();
    assert_eq!(versions, [Generation(2), Generation(1), Generation(2)]);
}
