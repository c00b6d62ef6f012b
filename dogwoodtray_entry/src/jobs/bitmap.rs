//! Set of item indices.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

const BITS_PER_BYTE: u32 = 8;

/// Set of item indices below a fixed count, serialized as hexadecimal digits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bitmap {
    bytes: Vec<u8>,
}

impl Bitmap {
    /// Creates an empty set for indices below `len`.
    #[must_use]
    pub fn new(len: u32) -> Self {
        Self { bytes: vec![0; len.div_ceil(BITS_PER_BYTE) as usize] }
    }

    /// Returns `true` if the set contains the index.
    #[must_use]
    pub fn get(&self, index: u32) -> bool {
        let byte = self.bytes.get((index / BITS_PER_BYTE) as usize).copied().unwrap_or(0);
        byte & (1 << (index % BITS_PER_BYTE)) != 0
    }

    /// Adds an index. Returns `true` if it was not in the set before.
    pub fn set(&mut self, index: u32) -> bool {
        let Some(byte) = self.bytes.get_mut((index / BITS_PER_BYTE) as usize) else {
            debug_assert!(false, "index out of range");
            return false;
        };
        let mask = 1 << (index % BITS_PER_BYTE);
        let added = *byte & mask == 0;
        *byte |= mask;
        added
    }

    /// Returns the number of indices in the set.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.bytes.iter().map(|byte| byte.count_ones()).sum()
    }
}

impl Serialize for Bitmap {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        const DIGITS: &[u8; 16] = b"0123456789abcdef";
        let mut text = String::with_capacity(self.bytes.len() * 2);
        for byte in &self.bytes {
            text.push(char::from(DIGITS[usize::from(byte >> 4)]));
            text.push(char::from(DIGITS[usize::from(byte & 15)]));
        }
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for Bitmap {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let mut bytes = Vec::with_capacity(text.len() / 2);
        for pair in text.as_bytes().chunks(2) {
            let &[high, low] = pair else {
                return Err(D::Error::custom("odd number of digits"));
            };
            let digit = |c: u8| char::from(c).to_digit(16);
            let (Some(high), Some(low)) = (digit(high), digit(low)) else {
                return Err(D::Error::custom("not a hexadecimal digit"));
            };
            bytes.push((high * 16 + low) as u8);
        }
        Ok(Self { bytes })
    }
}
