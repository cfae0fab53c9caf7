//! Tests of what must stay cheap: the assignment of owners, the list of leaving upstreams, and the
//! platform calls that a new revision costs.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceName, Time, UpstreamName};
use node::{
    directory::{UpstreamDeclaration, UpstreamId},
    owners::{LocalUpstream, Owners, View},
    upstreams::Upstreams,
};
use quickcheck::quickcheck;
use rig::sim::Scenario;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn names(count: usize) -> Vec<UpstreamName> {
    let name = |n| format!("u-{n}").parse().unwrap();
    (0..count).map(name).collect()
}

fn members(count: usize) -> Vec<InstanceName> {
    let name = |n| format!("i-{n:03}").parse().unwrap();
    (0..count).map(name).collect()
}

fn locals(names: &[UpstreamName]) -> Vec<LocalUpstream<'_>> {
    let local = |(id, name)| LocalUpstream {
        id: UpstreamId(id),
        name,
    };
    (0..).zip(names).map(local).collect()
}

/// Assigns each upstream in turn to the member of greatest weight below the bound on its share.
fn expected_owners(names: &[UpstreamName], members: &[InstanceName]) -> Vec<InstanceName> {
    let max_owned = (names.len() * 5).div_ceil(members.len() * 4);
    let mut owned: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    let mut owners = Vec::new();
    for name in names {
        let seed = xxh3_64_with_seed(name.as_str().as_bytes(), 0);
        let with_room = members.iter().filter(|m| owned.get(m) < Some(&max_owned));
        let best = with_room.max_by_key(|m| xxh3_64_with_seed(m.as_str().as_bytes(), seed));
        let best = best.unwrap();
        *owned.entry(best).or_default() += 1;
        owners.push(best.clone());
    }
    owners
}

quickcheck! {
    fn owners_have_the_greatest_weight_within_the_bound(upstreams: u8, others: u8) -> bool {
        let (names, members) = (names(upstreams.into()), members(1 + usize::from(others % 20)));
        let view = View { active: members.clone(), ..View::default() };
        let mut owners = Owners::new(members[0].clone());
        owners.assign(Time::ZERO, &[locals(&names)], view);
        let assigned = (0..u32::from(upstreams)).map(|id| owners.owner(UpstreamId(id)).unwrap());
        assigned.eq(expected_owners(&names, &members).iter())
    }
}

#[test]
fn leaving_upstreams_are_listed_until_the_report_is_old() {
    let mut upstreams = Upstreams::default();
    let declared = |id| UpstreamDeclaration {
        id: UpstreamId(id),
        address: "10.0.0.1:9000".parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        service: "s".parse().unwrap(),
        slots: 1,
        connections: 1,
    };
    upstreams.set_declarations((0..4).map(declared).collect());
    let listed = |u: &Upstreams, at| u.leaving(at).collect::<Vec<_>>();
    let (start, age) = (Time::from_millis(10_000), Duration::from_secs(2));
    assert!(upstreams.mark_leaving(start, UpstreamId(2), age));
    assert!(!upstreams.mark_leaving(start, UpstreamId(2), age));
    assert!(!upstreams.mark_leaving(start, UpstreamId(9), age));
    assert_eq!(listed(&upstreams, start), [(UpstreamId(2), age)]);
    upstreams.set_declarations((0..4).map(declared).collect());
    assert_eq!(listed(&upstreams, start).len(), 1);
    let late = start + Duration::from_secs(61);
    assert!(listed(&upstreams, late).is_empty());
    assert!(upstreams.mark_leaving(late, UpstreamId(1), Duration::ZERO));
    assert_eq!(listed(&upstreams, late), [(UpstreamId(1), Duration::ZERO)]);
    upstreams.set_declarations(vec![declared(0)]);
    assert!(listed(&upstreams, late).is_empty());
}

#[test]
fn a_revision_costs_the_platform_calls_of_the_watchers_alone() {
    let scenario = Scenario {
        instances: 17,
        ..Scenario::default()
    };
    let mut world = scenario.world();
    world.advance(Duration::from_secs(5));
    let (before, _) = world.platform_load();
    let mut catalogue = scenario.catalogue();
    catalogue.services[0].slots += 1;
    for (kind, name, value) in Scenario::objects(&catalogue, 2) {
        world.publish(kind, &name, value);
    }
    world.advance(Duration::from_millis(900));
    let follows = |i: usize| world.node(i).is_some_and(|n| n.stats().revision.0 == 2);
    assert!((0..17).all(follows));
    // Each of the two watchers reads the document and starts a new watch.
    let (after, _) = world.platform_load();
    assert!(after - before <= 4, "{} calls", after - before);
}
