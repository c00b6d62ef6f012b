//! Tests of the frame decoder with bytes that no sound process sends.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod odd_frames;

use odd_frames::decode;
use odd_frames::odd_frame;
use prost::Message;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::StdRng;

quickcheck! {
    /// Guards against bytes that stop the process that decodes them.
    fn any_bytes_are_decoded_or_refused(bytes: Vec<u8>) -> bool {
        decode(&bytes).is_none_or(|frame| frame.encoded_len() <= 2 * bytes.len())
    }

    /// Guards against a frame that changes on its way, and against a decoder that stops the process
    /// at a cut or spoilt frame.
    fn odd_frames_are_decoded_or_refused(seed: u64, changes: Vec<(u16, u8)>) -> bool {
        let frame = odd_frame(&mut StdRng::seed_from_u64(seed), &["", "a", "\u{1f4a5}"]);
        let mut bytes = frame.encode_to_vec();
        let is_same = decode(&bytes) == Some(frame);
        for (place, value) in changes {
            match bytes.len() {
                0 => break,
                length if value == 0 => bytes.truncate(usize::from(place) % length),
                length => bytes[usize::from(place) % length] = value,
            }
            decode(&bytes);
        }
        is_same
    }
}
