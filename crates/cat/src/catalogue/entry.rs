//! Reader of the entries of a catalogue and their limits.

use std::{ops::RangeInclusive, time::Duration};

use base::{ByteSize, Percent, Rate, ServiceName, Span};

use super::service::Declared;
use crate::{
    model::{Class, Entry, Limits},
    read::{Cursor, Fields, Member, did_you_mean, nearest, quote},
};

/// Allowed time from the arrival of a request to its answer.
pub const DEADLINE_RANGE: RangeInclusive<Span> = Span::from_millis(1)..=Span::from_secs(60);
/// Allowed requests per second at one instance.
pub const RATE_RANGE: RangeInclusive<Rate> = Rate(1)..=Rate(1_000_000);
/// Allowed number of requests pending at once at one instance.
pub const CONCURRENT_RANGE: RangeInclusive<u32> = 1..=100_000;
/// Allowed hedged sub-requests as a share of first attempts.
pub const HEDGE_RANGE: RangeInclusive<Percent> = Percent(0)..=Percent(50);
/// Allowed retried sub-requests as a share of first attempts.
pub const RETRY_RANGE: RangeInclusive<Percent> = Percent(0)..=Percent(100);
/// Allowed number of hits in one answer.
pub const RESULTS_RANGE: RangeInclusive<u32> = 1..=10_000;
/// Allowed size of a request body.
pub const BODY_RANGE: RangeInclusive<ByteSize> = ByteSize(1)..=ByteSize(8 << 20);
/// Maximum length of an owner, in bytes.
pub const MAX_OWNER_BYTES: usize = 96;

/// Reads one entry.
pub(super) fn read<'r>(member: &Member<'r>, declared: &mut Declared<'r>) -> Option<Entry> {
    let name = member.parse_name();
    let fields = member
        .value
        .fields(&["service", "owner", "class", "limits"])?;
    let service = fields
        .require("service")
        .and_then(|v| read_service(&v, declared));
    let owner = fields.require("owner").and_then(|v| read_owner(&v));
    let class = fields.require("class").and_then(|v| v.keyword::<Class>());
    let upstreams = service
        .as_ref()
        .and_then(|name| declared.upstream_count(name));
    let limits = read_limits(&fields, class, upstreams);
    Some(Entry {
        name: name?,
        service: service?,
        owner: owner?,
        class: class?,
        limits: limits?,
    })
}

fn read_service<'r>(value: &Cursor<'r>, declared: &mut Declared<'r>) -> Option<ServiceName> {
    let text = value.text("a service name")?;
    let name = value.scalar()?;
    declared.mark_used(text);
    if declared.readable && !declared.has_service(text) {
        let message = format!("there is no service {}", quote(text));
        let hint = did_you_mean(text, declared.service_names());
        value.reader().error(value.offset(), message, hint);
        if let Some(meant) = nearest(text, declared.service_names()) {
            declared.mark_used(meant);
        }
    }
    Some(name)
}

fn read_owner(value: &Cursor<'_>) -> Option<Box<str>> {
    let owner = value.text("the name of a team")?;
    if owner.trim().is_empty() {
        value.error_hint(
            "the owner is empty",
            "name the team that answers for the entry",
        );
        return None;
    }
    if owner.len() > MAX_OWNER_BYTES || owner.chars().any(char::is_control) {
        value.error(format!(
            "the owner must have at most {MAX_OWNER_BYTES} bytes and no control characters"
        ));
        return None;
    }
    Some(owner.into())
}

fn read_limits(
    entry: &Fields<'_>,
    class: Option<Class>,
    upstreams: Option<usize>,
) -> Option<Limits> {
    let default = class.map(Limits::default_for).unwrap_or_default();
    let Some(value) = entry.get("limits") else {
        return Some(default);
    };
    let fields = value.fields(&[
        "deadline",
        "rate",
        "concurrent",
        "hedge",
        "retry",
        "results",
        "body",
    ])?;
    let deadline = fields.read_or("deadline", default.deadline.into(), |v| {
        v.scalar_in(&DEADLINE_RANGE)
    });
    let rate = fields.read_or("rate", default.rate, |v| v.scalar_in(&RATE_RANGE));
    let concurrent = fields.read_or("concurrent", default.concurrent, |v| {
        v.number_in(&CONCURRENT_RANGE)
    });
    let hedge = fields.read_or("hedge", default.hedge, |v| v.scalar_in(&HEDGE_RANGE));
    let retry = fields.read_or("retry", default.retry, |v| v.scalar_in(&RETRY_RANGE));
    let results = fields.read_or("results", default.results, |v| v.number_in(&RESULTS_RANGE));
    let body = fields.read_or("body", default.body, |v| v.scalar_in(&BODY_RANGE));
    check_class(&fields, class, hedge, retry);
    check_hedge(&fields, hedge, upstreams);
    Some(Limits {
        deadline: Duration::from(deadline?),
        rate: rate?,
        concurrent: concurrent?,
        hedge: hedge?,
        retry: retry?,
        results: results?,
        body: body?,
    })
}

/// Reports limits that contradict the class of the entry.
fn check_class(
    limits: &Fields<'_>,
    class: Option<Class>,
    hedge: Option<Percent>,
    retry: Option<Percent>,
) {
    if class == Some(Class::Once) && hedge.is_some_and(|hedge| hedge > Percent(0)) {
        limits.at("hedge").error_hint(
            "an entry of class once can't be hedged: a second attempt may run the request twice",
            "set hedge to 0% or leave it out",
        );
    }
    if class == Some(Class::Coverage) && retry == Some(Percent(0)) {
        limits.at("retry").warning_hint(
            "an entry of class coverage has no retries, so one failed attempt loses a shard",
            "allow a few retries, such as 10%",
        );
    }
}

/// Reports hedging for a service with a single upstream.
fn check_hedge(limits: &Fields<'_>, hedge: Option<Percent>, upstreams: Option<usize>) {
    let Some(value) = limits.get("hedge") else {
        return;
    };
    if upstreams == Some(1) && hedge.is_some_and(|hedge| hedge > Percent(0)) {
        value.warning_hint(
            "hedging has no effect: the service has one upstream",
            "set hedge to 0% or add an upstream",
        );
    }
}
