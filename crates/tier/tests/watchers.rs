//! Which instances watch the platform.

use std::collections::HashMap;

use quickcheck::quickcheck;
use tier::{Instance, watchers::candidates};

fn site(centres: usize, each: usize) -> Vec<Instance> {
    let instance = |i: usize| Instance {
        name: format!("instance-{i}").parse().unwrap(),
        address: ([10, 0, (i / 250) as u8, (i % 250) as u8], 1).into(),
        data_centre: format!("dc-{}", i % centres).parse().unwrap(),
        cpu_share: if i < centres { 0.5 } else { 0.084 },
    };
    (0..centres * each).map(instance).collect()
}

#[test]
fn few_instances_watch_by_themselves() {
    let all = site(4, 6);
    assert!(candidates(&all, "instance-23").is_empty());
}

#[test]
fn two_of_each_data_centre_watch_and_are_followed_there_first() {
    let all = site(4, 33);
    let mut followers: HashMap<String, usize> = HashMap::new();
    let mut watching = 0;
    for this in &all {
        let found = candidates(&all, this.name.as_str());
        let Some(first) = found.first() else {
            watching += 1;
            continue;
        };
        assert_eq!(first.data_centre, this.data_centre);
        assert_eq!(found.len(), 8);
        *followers.entry(first.name.to_string()).or_default() += 1;
    }
    assert_eq!(watching, 8);
    assert!(
        followers.values().all(|count| *count <= 24),
        "{followers:?}"
    );
    // The instance with the most of a processor is one of them.
    assert!(followers.contains_key("instance-0"));
}

#[test]
fn an_instance_that_is_not_among_the_records_watches_by_itself() {
    assert!(candidates(&site(4, 33), "instance-new").is_empty());
}

quickcheck! {
    /// Nobody follows an instance that follows another.
    fn whoever_is_followed_watches(centres: u8, each: u8) -> bool {
        let all = site(usize::from(centres % 6) + 1, usize::from(each % 40) + 1);
        all.iter().all(|this| {
            let followed = candidates(&all, this.name.as_str());
            followed.iter().all(|it| candidates(&all, it.name.as_str()).is_empty())
        })
    }
}
