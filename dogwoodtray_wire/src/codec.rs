//! Length-delimited framing of prost messages.

use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use quick_error::quick_error;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::messages::Frame;

/// Maximum size of a frame that is sent or received, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

quick_error! {
    /// Error returned when a frame cannot be read or written.
    #[derive(Debug)]
    pub enum WireError {
        /// The connection failed, or a frame was longer than [`MAX_FRAME_BYTES`].
        Io(err: std::io::Error) {
            from()
            display("link failed: {err}")
            source(err)
        }
        /// The bytes of a frame are not a valid message.
        Malformed(err: prost::DecodeError) {
            from()
            display("malformed frame: {err}")
            source(err)
        }
    }
}

/// Codec that prefixes each [`Frame`] with its length in four bytes.
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that rejects frames longer than [`MAX_FRAME_BYTES`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec(),
        }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(buf) = self.inner.decode(src)? else {
            return Ok(None);
        };
        Ok(Some(Frame::decode(buf)?))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), WireError> {
        let buf = Bytes::from(frame.encode_to_vec());
        self.inner.encode(buf, dst)?;
        Ok(())
    }
}
