//! Frames whose fields hold values that no sound process sends.

use bytes::Buf;
use bytes::BufMut;
use bytes::BytesMut;
use dogwoodtray_wire::FrameCodec;
use dogwoodtray_wire::messages::Frame;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio_util::codec::Decoder;

const NUMBERS: [u64; 12] = [
    0,
    1,
    2,
    7,
    1_000,
    u32::MAX as u64 - 1,
    u32::MAX as u64,
    u32::MAX as u64 + 1,
    i64::MAX as u64,
    1 << 63,
    u64::MAX - 1,
    u64::MAX,
];

/// Largest field number in `messages.proto`, except for that of the kinds of frames.
const MAX_FIELD: u32 = 19;

/// Largest field number of a kind of frame.
const MAX_KIND: u32 = 44;

/// Number of nested messages within a kind of frame.
const MAX_DEPTH: u32 = 1;

/// Number of wire types tried for a field.
const MAX_TRIES: usize = 3;

const VARINT: u32 = 0;
const FIXED64: u32 = 1;
const LENGTH_DELIMITED: u32 = 2;

/// Returns a frame that can be decoded, with extreme numbers and with these names as texts.
pub(crate) fn odd_frame(rng: &mut StdRng, names: &[&str]) -> Frame {
    let kind = rng.random_range(1..=MAX_KIND);
    let is_valid = |message: &[u8]| decode(&delimited(kind, message)).is_some();
    let message = odd_message(rng, names, MAX_DEPTH, &is_valid);
    decode(&delimited(kind, &message)).unwrap()
}

/// Decodes a frame, as a process does that receives it.
pub(crate) fn decode(bytes: &[u8]) -> Option<Frame> {
    let mut buf = BytesMut::new();
    buf.put_u32(u32::try_from(bytes.len()).unwrap());
    buf.put_slice(bytes);
    let frame = FrameCodec::new().decode(&mut buf).ok()?;
    assert!(!buf.has_remaining(), "a frame was decoded in part");
    frame
}

fn odd_message(
    rng: &mut StdRng,
    names: &[&str],
    depth: u32,
    is_valid: &dyn Fn(&[u8]) -> bool,
) -> Vec<u8> {
    let mut message = Vec::new();
    for field in 1..=MAX_FIELD {
        for _ in 0..rng.random_range(0..=2) {
            for _ in 0..MAX_TRIES {
                let is_valid = |field: &[u8]| is_valid(&[&message, field].concat());
                let field = odd_field(rng, names, field, depth, &is_valid);
                if is_valid(&field) {
                    message.extend_from_slice(&field);
                    break;
                }
            }
        }
    }
    message
}

fn odd_field(
    rng: &mut StdRng,
    names: &[&str],
    field: u32,
    depth: u32,
    is_valid: &dyn Fn(&[u8]) -> bool,
) -> Vec<u8> {
    let number = *NUMBERS.choose(rng).unwrap();
    match rng.random_range(0..4) {
        0 => [key(field, VARINT), varint(number)].concat(),
        1 => [key(field, FIXED64), number.to_le_bytes().to_vec()].concat(),
        2 if depth > 0 => {
            let is_valid = |message: &[u8]| is_valid(&delimited(field, message));
            delimited(field, &odd_message(rng, names, depth - 1, &is_valid))
        }
        _ => delimited(field, names.choose(rng).unwrap().as_bytes()),
    }
}

fn delimited(field: u32, bytes: &[u8]) -> Vec<u8> {
    [&key(field, LENGTH_DELIMITED), &varint(bytes.len() as u64), bytes].concat()
}

fn key(field: u32, wire_type: u32) -> Vec<u8> {
    varint(u64::from(field << 3 | wire_type))
}

fn varint(mut number: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
    bytes
}
