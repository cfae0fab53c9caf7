//! Codec for length-delimited frames, each of which holds one encoded message.

use std::marker::PhantomData;

use bytes::{BufMut, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::Envelope;

/// Largest accepted frame by default, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Error of reading or writing a frame.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The frame is longer than the maximum, or the connection failed.
    #[snafu(context(false), display("frame: {source}"))]
    Io {
        /// Error of the framing or the connection.
        source: std::io::Error,
    },
    /// The frame holds no valid message.
    #[snafu(display("message: {source}"))]
    Decode {
        /// Error of the decoder.
        source: prost::DecodeError,
    },
}

impl Envelope {
    /// Returns the size of the message with its length prefix, in bytes.
    pub fn frame_bytes(&self) -> usize {
        LENGTH_BYTES + self.encoded_len()
    }
}

/// Encodes and decodes messages on a byte stream.
#[derive(Debug)]
pub struct Codec<M = Envelope> {
    frames: LengthDelimitedCodec,
    max_frame: usize,
    message: PhantomData<M>,
}

impl<M> Default for Codec<M> {
    fn default() -> Self {
        Self::with_max_frame(MAX_FRAME_BYTES)
    }
}

impl<M> Codec<M> {
    /// Creates a codec for frames of at most `max_frame` bytes, which has to fit in a `u32`.
    pub fn with_max_frame(max_frame: usize) -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(max_frame)
            .new_codec();
        Self {
            frames,
            max_frame,
            message: PhantomData,
        }
    }
}

impl<M: Message + Default> Decoder for Codec<M> {
    type Item = M;
    type Error = FrameError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<M>, FrameError> {
        let Some(frame) = self.frames.decode(buf)? else {
            return Ok(None);
        };
        M::decode(frame).context(DecodeSnafu).map(Some)
    }
}

impl<M: Message> Encoder<&M> for Codec<M> {
    type Error = FrameError;

    fn encode(&mut self, message: &M, buf: &mut BytesMut) -> Result<(), FrameError> {
        let length = message.encoded_len();
        if length > self.max_frame {
            let kind = std::io::ErrorKind::InvalidInput;
            return Err(
                std::io::Error::new(kind, "the message is longer than the maximum frame").into(),
            );
        }
        buf.reserve(LENGTH_BYTES + length);
        // The maximum fits in the `u32`.
        buf.put_u32(length as u32);
        Ok(message.encode(buf).map_err(std::io::Error::other)?)
    }
}
