//! Frames of older builds, byte for byte, and what those builds make of newer frames.
//!
//! A file below `frames` is named for the commit whose messages wrote it, and is never changed.

use prost::Message;
use wire::handover::{Frame, HandOver, Payload, Separated};

/// Frames of the last build without organisations, by the kind of their message.
const FRAMES: &str = include_str!("frames/5fa78e2.txt");

/// Frames of the last landed build that the one before did not know.
const LATER_FRAMES: &str = include_str!("frames/86b877c.txt");

/// What that build knows of a frame.
#[derive(Clone, PartialEq, Message)]
struct OlderFrame {
    #[prost(message, optional, tag = "1")]
    hand_over: Option<HandOver>,
    #[prost(uint64, optional, tag = "2")]
    accepted: Option<u64>,
}

fn frames() -> impl Iterator<Item = (&'static str, Vec<u8>)> {
    FRAMES.lines().chain(LATER_FRAMES.lines()).map(|line| {
        let (name, hex) = line.split_once(' ').unwrap();
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
        (name, (0..hex.len()).step_by(2).map(byte).collect())
    })
}

fn frame(wanted: &str) -> Payload {
    let (_, bytes) = frames().find(|(name, _)| *name == wanted).unwrap();
    Frame::decode(&*bytes).unwrap().payload.unwrap()
}

#[test]
fn frames_of_an_older_build_are_read_and_written_alike() {
    assert_eq!(frames().count(), 19);
    for (name, bytes) in frames() {
        let read = Frame::decode(&*bytes).unwrap();
        assert!(read.payload.is_some(), "{name}");
        // What has no new content is still written as the older build expects it.
        assert_eq!(read.encode_to_vec(), bytes, "{name}");
    }
}

#[test]
fn the_fields_of_an_older_build_keep_their_meaning() {
    let Payload::HandOver(search) = frame("hand_over") else {
        panic!()
    };
    assert_eq!(
        (search.call, search.left_us, search.version),
        (7, 950_000, 12)
    );
    assert_eq!((search.was_refused, search.may_have_run), (true, false));
    assert_eq!(
        (&*search.method, &*search.target),
        ("GET", "/search/2f?x=1")
    );
    assert_eq!((search.headers.len(), &*search.body), (3, &b"body"[..]));
    assert_eq!(search.branch.unwrap().shards, [1, 4, 300]);
    assert_eq!(search.organisation, None);
    let Payload::Done(done) = frame("done") else {
        panic!()
    };
    assert_eq!(
        (done.call, done.status, done.limited_shards[0].share),
        (7, 200, 0.5)
    );
    assert_eq!(done.limit.unwrap().per_second, 12.5);
    let Payload::Done(declined) = frame("declined") else {
        panic!()
    };
    assert_eq!((declined.call, declined.status), (8, 0));
    let Payload::Crash(crash) = frame("crash") else {
        panic!()
    };
    assert_eq!((crash.digest, crash.up_age_us), (11, Some(2_000)));
}

/// An older build would send the request to upstreams without its organisation, so it must not see
/// it.
#[test]
fn an_older_build_does_not_see_requests_of_organisations() {
    let search = HandOver {
        call: 7,
        organisation: Some("acme".into()),
        ..HandOver::default()
    };
    let seen = |payload| OlderFrame::decode(&*Frame::from(payload).encode_to_vec()).unwrap();
    assert_eq!(
        seen(Payload::IdentifiedHandOver(search.clone())),
        OlderFrame::default()
    );
    assert!(seen(Payload::HandOver(search)).hand_over.is_some());
}

/// Older builds ignore what neighbours say of data centres.
#[test]
fn an_older_build_does_not_see_reports_of_separations() {
    let report = Payload::Separated(Separated {
        data_centres: vec!["there".into()],
    });
    let seen = OlderFrame::decode(&*Frame::from(report).encode_to_vec()).unwrap();
    assert_eq!(seen, OlderFrame::default());
}
