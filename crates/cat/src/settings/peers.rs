//! Settings for the communication between the instances of a data centre.

use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    ops::RangeInclusive,
    time::Duration,
};

use base::{ByteSize, Span};

use crate::read::{Cursor, Fields};

/// Allowed interval between heartbeats.
pub const HEARTBEAT_RANGE: RangeInclusive<Span> = Span::from_millis(10)..=Span::from_secs(10);
/// Allowed time after which a peer that leaves a probe unanswered is suspected.
pub const SUSPECT_AFTER_RANGE: RangeInclusive<Span> = Span::from_millis(20)..=Span::from_secs(60);
/// Allowed time after which a peer that leaves all probes unanswered is removed.
pub const REMOVE_AFTER_RANGE: RangeInclusive<Span> = Span::from_millis(30)..=Span::from_secs(600);
/// Allowed budget of an instance for heartbeats, in bytes per second.
pub const BUDGET_RANGE: RangeInclusive<ByteSize> = ByteSize(256)..=ByteSize(16 << 20);

const DEFAULT_LISTEN: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7400));

/// Settings for the communication between the instances of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Address to accept connections of peers on.
    pub listen: SocketAddr,
    /// Address that is sent to peers; `listen` if absent.
    pub advertise: Option<SocketAddr>,
    /// Peers to ask for the other members at start.
    pub seeds: Vec<SocketAddr>,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Time after which a peer that leaves a probe unanswered is suspected; any message from it
    /// counts as an answer.
    pub suspect_after: Duration,
    /// Time after which a peer that leaves all probes unanswered is removed.
    pub remove_after: Duration,
    /// Bytes of heartbeats per second beyond which gossip is held back.
    pub budget: ByteSize,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            listen: DEFAULT_LISTEN,
            advertise: None,
            seeds: Vec::new(),
            heartbeat: Duration::from_millis(200),
            suspect_after: Duration::from_millis(500),
            remove_after: Duration::from_secs(2),
            budget: ByteSize(2 << 10),
        }
    }
}

/// Reads the section.
pub(super) fn read(section: Cursor<'_>) -> Option<Peers> {
    let fields = section.fields(&[
        "listen",
        "advertise",
        "seeds",
        "heartbeat",
        "suspect_after",
        "remove_after",
        "budget",
    ])?;
    let default = Peers::default();
    let listen = fields.require("listen").and_then(super::read_listen);
    let advertise = fields.read_or("advertise", None, |v| super::read_remote(v).map(Some));
    let seeds = fields.read_or("seeds", Vec::new(), read_seeds);
    let heartbeat = read_span(&fields, "heartbeat", default.heartbeat, &HEARTBEAT_RANGE);
    let suspect_after = read_span(
        &fields,
        "suspect_after",
        default.suspect_after,
        &SUSPECT_AFTER_RANGE,
    );
    let remove_after = read_span(
        &fields,
        "remove_after",
        default.remove_after,
        &REMOVE_AFTER_RANGE,
    );
    let budget = fields.read_or("budget", default.budget, |v| v.scalar_in(&BUDGET_RANGE));
    check_advertise(&fields, listen);
    check_order(
        &fields,
        ("heartbeat", heartbeat),
        ("suspect_after", suspect_after),
    );
    check_order(
        &fields,
        ("suspect_after", suspect_after),
        ("remove_after", remove_after),
    );
    Some(Peers {
        listen: listen?,
        advertise: advertise?,
        seeds: seeds?,
        heartbeat: heartbeat?.into(),
        suspect_after: suspect_after?.into(),
        remove_after: remove_after?.into(),
        budget: budget?,
    })
}

fn read_span(
    fields: &Fields<'_>,
    key: &str,
    default: Duration,
    range: &RangeInclusive<Span>,
) -> Option<Span> {
    fields.read_or(key, default.into(), |v| v.scalar_in(range))
}

fn read_seeds(value: Cursor<'_>) -> Option<Vec<SocketAddr>> {
    let mut known = HashSet::new();
    let read_seed = |item: Cursor<'_>| {
        let seed = super::read_remote(item)?;
        if !known.insert(seed) {
            item.warning_hint(format!("the seed {seed} is listed twice"), "remove one");
        }
        Some(seed)
    };
    let seeds: Vec<_> = value.items()?.into_iter().map(read_seed).collect();
    seeds.into_iter().collect()
}

/// Reports an instance without an address that it can send to its peers.
fn check_advertise(fields: &Fields<'_>, listen: Option<SocketAddr>) {
    let unspecified = listen.is_some_and(|address| address.ip().is_unspecified());
    if unspecified && fields.get("advertise").is_none() {
        fields.at("listen").error_hint(
            "peers can't connect to an address that stands for all interfaces",
            "add the key \"advertise\"",
        );
    }
}

/// Reports a time that is not longer than another one that must pass before it.
fn check_order(
    fields: &Fields<'_>,
    (earlier_key, earlier): (&str, Option<Span>),
    (later_key, later): (&str, Option<Span>),
) {
    if let (Some(earlier), Some(later)) = (earlier, later)
        && later <= earlier
    {
        let declared = fields.get(later_key).or_else(|| fields.get(earlier_key));
        let at = declared.unwrap_or_else(|| fields.object());
        at.error(format!(
            "{later_key} ({later}) must be longer than {earlier_key} ({earlier})"
        ));
    }
}
