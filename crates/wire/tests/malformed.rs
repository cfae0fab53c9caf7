//! Bytes that are no frames end with an error and not with a panic.

use bytes::BytesMut;
use quickcheck::quickcheck;
use tokio_util::codec::{Decoder, Encoder};
use wire::{
    Codec, Envelope,
    handover::{Done, Frame, MAX_BODY_BYTES, MAX_FRAME_BYTES, Payload},
};

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

#[test]
fn the_largest_answer_fits_in_a_frame() {
    let done = Done {
        call: 1,
        status: 200,
        body: vec![7; MAX_BODY_BYTES].into(),
        ..Done::default()
    };
    let frame = Frame::from(Payload::Done(done));
    let mut codec = Codec::with_max_frame(MAX_FRAME_BYTES);
    let mut buf = BytesMut::new();
    codec.encode(&frame, &mut buf).expect("the frame is sent");
    let decoded: Option<Frame> = codec.decode(&mut buf).expect("the frame is accepted");
    assert_eq!(decoded, Some(frame));
}
