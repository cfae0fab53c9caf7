//! Messages between instances, and their framing.
//!
//! Messages are `prost` structs written by hand, so the build needs no code generator. A frame is a
//! big-endian `u32` length followed by one encoded message; [`codec`] bounds its size.
//! `briarcove serve` uses the messages of [`message`], `briarcove edge` those of [`handover`].

pub mod codec;
pub mod handover;
pub mod message;

pub use codec::{Codec, FrameError, MAX_FRAME_BYTES};
pub use message::*;
