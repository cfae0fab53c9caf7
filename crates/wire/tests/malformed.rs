//! Bytes that are no frames end with an error and not with a panic.

use bytes::BytesMut;
use quickcheck::quickcheck;
use tokio_util::codec::Decoder;
use wire::{Codec, Envelope, handover::Frame};

fn decode_all<M: prost::Message + Default>(bytes: &[u8]) {
    let mut codec = Codec::<M>::default();
    let mut buf = BytesMut::from(bytes);
    while let Ok(Some(_)) = codec.decode(&mut buf) {}
}

quickcheck! {
    fn arbitrary_bytes_cause_no_panic(bytes: Vec<u8>) -> bool {
        decode_all::<Frame>(&bytes);
        decode_all::<Envelope>(&bytes);
        // The same as the content of a frame.
        let length = u32::try_from(bytes.len()).unwrap_or(0);
        let framed = [&length.to_be_bytes()[..], &bytes].concat();
        decode_all::<Frame>(&framed);
        decode_all::<Envelope>(&framed);
        true
    }
}
