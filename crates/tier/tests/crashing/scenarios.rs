//! The scenarios: forms of a crash, and what goes on beside it.

use std::time::Duration;

use super::{Crash, Scenario, check, world::UNIQUE};

#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_without_other_traffic() {
    check(&Scenario::default());
}

#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_beside_other_traffic() {
    check(&Scenario {
        harmless_rate: 100.0,
        ..Scenario::default()
    });
}

#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_while_the_store_is_away() {
    check(&Scenario {
        store_away: Some((Duration::from_millis(500), Duration::from_secs(60))),
        ..Scenario::default()
    });
}

#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_while_instances_restart() {
    check(&Scenario {
        restarts_every: Some(Duration::from_millis(900)),
        ..Scenario::default()
    });
}

#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_among_records_of_lost_instances() {
    check(&Scenario {
        stale_records: 40,
        store_away: Some((Duration::from_millis(500), Duration::from_secs(60))),
        ..Scenario::default()
    });
}

/// Guards against a quarantine that only one instance knows, as it did not know the others when it
/// reached the outcome and the store was away (soak with crashes, seed 6).
#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_when_instances_are_known_late() {
    check(&Scenario {
        instances_known_after: Some(Duration::from_secs(4)),
        store_away: Some((Duration::from_millis(500), Duration::from_secs(60))),
        ..Scenario::default()
    });
}

#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_when_upstreams_end_in_silence() {
    check(&Scenario {
        crash: Crash {
            is_silent: true,
            ..Crash::default()
        },
        ..Scenario::default()
    });
}

#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_when_upstreams_are_back_soon() {
    for down in [50, 1_000, 3_000, 10_000].map(Duration::from_millis) {
        check(&Scenario {
            crash: Crash {
                down: Some(down),
                ..Crash::default()
            },
            ..Scenario::default()
        });
    }
}

#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_when_upstreams_return_under_new_names() {
    check(&Scenario {
        crash: Crash {
            has_new_name: true,
            ..Crash::default()
        },
        ..Scenario::default()
    });
}

#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_when_upstreams_are_gone_for_good() {
    check(&Scenario {
        crash: Crash {
            down: None,
            ..Crash::default()
        },
        ..Scenario::default()
    });
}

#[test]
fn a_crashing_request_that_may_run_once_is_sent_on_three_times_at_most() {
    check(&Scenario {
        idempotent: false,
        ..Scenario::default()
    });
}

#[test]
fn a_crashing_search_is_sent_on_three_times_at_most() {
    check(&Scenario {
        shards: 8,
        harmless_rate: 50.0,
        ..Scenario::default()
    });
}

#[test]
fn several_crashing_requests_are_each_sent_on_three_times_at_most() {
    check(&Scenario {
        crashing: 4,
        upstreams: 60,
        harmless_rate: 50.0,
        ..Scenario::default()
    });
}

#[test]
fn a_crashing_request_is_told_from_the_others_that_its_upstreams_run() {
    check(&Scenario {
        harmless_rate: 400.0,
        harmless_contents: 20,
        ..Scenario::default()
    });
}

#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_to_a_service_with_two_upstreams() {
    for store_away in [
        None,
        Some((Duration::from_millis(500), Duration::from_secs(60))),
    ] {
        check(&Scenario {
            upstreams: 2,
            store_away,
            ..Scenario::default()
        });
    }
}

/// Guards against a quarantine by several requests that waited for one upstream that had ended in
/// silence (soak with crashes, seed 6).
#[test]
fn upstreams_that_end_in_silence_quarantine_no_request() {
    for (upstreams, harmless_contents) in [(2, 1), (24, 1), (24, 50)] {
        check(&Scenario {
            crashing: 0,
            min_crashes: 0,
            upstreams,
            harmless_rate: 100.0,
            harmless_contents,
            ends_every: Some(Duration::from_millis(900)),
            ends_in_silence: true,
            ..Scenario::default()
        });
    }
}

#[test]
fn resets_quarantine_no_request() {
    check(&Scenario {
        crashing: 0,
        min_crashes: 0,
        harmless_rate: 200.0,
        harmless_contents: 1,
        resets_every: Some(Duration::from_millis(150)),
        ..Scenario::default()
    });
}

#[test]
fn upstreams_that_end_by_themselves_quarantine_no_request() {
    for harmless_contents in [1, 50, UNIQUE] {
        check(&Scenario {
            crashing: 0,
            min_crashes: 0,
            harmless_rate: 200.0,
            harmless_contents,
            ends_every: Some(Duration::from_millis(400)),
            resets_every: Some(Duration::from_millis(700)),
            ..Scenario::default()
        });
    }
}

#[test]
fn cuts_between_instances_and_upstreams_quarantine_no_request() {
    for harmless_contents in [1, 50, UNIQUE] {
        check(&Scenario {
            crashing: 0,
            min_crashes: 0,
            harmless_rate: 200.0,
            harmless_contents,
            cuts_every: Some(Duration::from_millis(1_500)),
            ..Scenario::default()
        });
    }
}

#[test]
fn a_crashing_request_is_told_from_resets_cuts_and_upstreams_that_end_by_themselves() {
    for harmless_contents in [1, 50, UNIQUE] {
        check(&Scenario {
            harmless_rate: 200.0,
            harmless_contents,
            upstreams: 40,
            ends_every: Some(Duration::from_millis(800)),
            resets_every: Some(Duration::from_millis(300)),
            cuts_every: Some(Duration::from_millis(2_500)),
            ..Scenario::default()
        });
    }
}

#[test]
fn cuts_and_upstreams_that_end_by_themselves_quarantine_no_search() {
    for harmless_contents in [1, UNIQUE] {
        check(&Scenario {
            shards: 8,
            crashing: 0,
            min_crashes: 0,
            harmless_rate: 100.0,
            harmless_contents,
            ends_every: Some(Duration::from_millis(700)),
            resets_every: Some(Duration::from_millis(300)),
            cuts_every: Some(Duration::from_millis(1_500)),
            ..Scenario::default()
        });
    }
}

/// Guards against a quarantine by a cut alone: searches that wait for many upstreams behind it, none
/// of which answers a probe, look like requests that crash them (bench, a day of cuts).
#[test]
fn a_cut_from_most_upstreams_quarantines_no_search() {
    check(&Scenario {
        shards: 8,
        crashing: 0,
        min_crashes: 0,
        harmless_rate: 100.0,
        harmless_contents: 50,
        cuts_every: Some(Duration::from_secs(8)),
        cut: (0.9, Duration::from_secs(4)),
        ..Scenario::default()
    });
}

/// Guards against a quarantine by an overload of the machine: hardly any request is answered, so no
/// reply clears the harmless ones that wait for upstreams that end, or whose probes time out (soak
/// with crashes, 40 runs at a time).
#[test]
fn a_starved_machine_quarantines_no_request() {
    for (upstreams, harmless_contents, ends_every) in [
        (4, 1, Some(900)),
        (24, 3, Some(900)),
        (2, 1, None),
        (24, UNIQUE, None),
    ] {
        check(&Scenario {
            crashing: 0,
            min_crashes: 0,
            instances: 3,
            upstreams,
            harmless_rate: 60.0,
            harmless_contents,
            ends_every: ends_every.map(Duration::from_millis),
            starved_every: Some(Duration::from_millis(2_600)),
            ..Scenario::default()
        });
    }
}

/// The bound on harm must not protect a request that does crash upstreams.
#[test]
fn a_crashing_request_is_sent_on_three_times_at_most_beside_starvation() {
    check(&Scenario {
        harmless_rate: 60.0,
        starved_every: Some(Duration::from_secs(9)),
        ..Scenario::default()
    });
}
