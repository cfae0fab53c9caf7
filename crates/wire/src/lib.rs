//! Messages between instances, and their framing.
//!
//! Messages are `prost` structs written by hand, so the build needs no generator. A frame is a
//! big-endian `u32` length and one encoded message; [`codec`] bounds its size. [`message`] serves
//! `briarcove serve`, [`handover`] `briarcove edge`.

pub mod codec;
pub mod handover;
pub mod message;

pub use codec::{Codec, FrameError, MAX_FRAME_BYTES};
pub use message::*;
