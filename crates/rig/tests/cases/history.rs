//! The history checker reports each kind of violation and accepts valid histories.

use std::collections::BTreeSet;

use base::{IdempotencyKey, InstanceName, RequestId, Revision, SnapshotId, Time};
use node::{Answer, Coverage, Hit, Reason, Refusal, SearchResults};
use rig::history::{History, Observation, Violation};

const ONE: RequestId = RequestId(1);
const TWO: RequestId = RequestId(2);

fn key() -> IdempotencyKey {
    "1764800000-a".parse().unwrap()
}

fn instance() -> InstanceName {
    "instance-0".parse().unwrap()
}

fn called(request: RequestId) -> Observation {
    Observation::Called {
        request,
        key: Some(key()),
        instance: instance(),
    }
}

fn ran(request: RequestId) -> Observation {
    Observation::Ran {
        request,
        key: key(),
    }
}

fn answered(request: RequestId, answer: Answer) -> Observation {
    Observation::Answered { request, answer }
}

fn done(request: RequestId) -> Answer {
    Answer::Done {
        request,
        outcome: format!("\"{request}\"").into(),
        repeated: false,
    }
}

fn refused() -> Answer {
    Answer::Refused(Refusal {
        reason: Reason::Overload,
        retry_after: None,
    })
}

fn searched() -> Observation {
    Observation::Searched {
        request: ONE,
        shard: "s".parse().unwrap(),
        snapshot: SnapshotId(7),
    }
}

/// Returns the answer to a search of two shards, one of which is missing. The text of its hit
/// names the request, the snapshot and the shard.
fn found(text: &str, answered: u32) -> Observation {
    let hit = Hit {
        id: "s".into(),
        score: 1,
        text: text.into(),
    };
    let found = SearchResults {
        request: ONE,
        snapshot: SnapshotId(7),
        hits: vec![hit],
        coverage: Coverage {
            asked: 2,
            answered,
            missing: vec!["t".parse().unwrap()],
        },
    };
    Observation::Answered {
        request: ONE,
        answer: Answer::Results(found),
    }
}

fn check(observations: Vec<Observation>) -> Vec<Violation> {
    let mut history = History::default();
    for (second, observation) in (0..).zip(observations) {
        history.push(Time::from_millis(second * 1_000), observation);
    }
    let violations: BTreeSet<Violation> = history.check();
    violations.into_iter().collect()
}

#[test]
fn a_history_that_holds_is_accepted() {
    let observations = vec![
        called(ONE),
        ran(ONE),
        answered(ONE, done(ONE)),
        called(TWO),
        answered(TWO, done(ONE)),
        Observation::Draining {
            instance: instance(),
        },
        Observation::Drained {
            instance: instance(),
        },
        Observation::End,
    ];
    assert_eq!(check(observations), []);
    let text = format!("{ONE}/7/s");
    let observations = vec![called(ONE), searched(), found(&text, 1), Observation::End];
    assert_eq!(check(observations), []);
}

#[test]
fn two_runs_of_a_key_are_rejected() {
    let observations = vec![called(ONE), ran(ONE), called(TWO), ran(TWO)];
    assert_eq!(check(observations), [Violation::RanTwice(key())]);
    assert_eq!(
        check(vec![called(ONE), ran(ONE), ran(ONE)]),
        [Violation::RanTwice(key())]
    );
}

#[test]
fn a_run_of_a_refused_request_is_rejected() {
    for answer in [refused(), Answer::Expired] {
        let observations = vec![called(ONE), answered(ONE, answer), ran(ONE)];
        assert_eq!(check(observations), [Violation::RanAfterRefusal(ONE)]);
    }
}

#[test]
fn an_outcome_without_a_run_is_rejected() {
    let observations = vec![called(ONE), answered(ONE, done(ONE))];
    assert_eq!(check(observations), [Violation::NeverRan(ONE)]);
    let observations = vec![called(ONE), ran(ONE), answered(ONE, done(TWO))];
    assert_eq!(check(observations), [Violation::NeverRan(ONE)]);
}

#[test]
fn an_outcome_of_another_request_is_rejected() {
    let answer = Answer::Done {
        request: ONE,
        outcome: format!("\"{TWO}\"").into(),
        repeated: false,
    };
    let observations = vec![called(ONE), ran(ONE), answered(ONE, answer)];
    assert_eq!(check(observations), [Violation::ForeignOutcome(ONE)]);
}

#[test]
fn hits_of_another_request_are_rejected() {
    let text = format!("{TWO}/7/s");
    let observations = vec![called(ONE), searched(), found(&text, 1)];
    assert_eq!(check(observations), [Violation::ForeignHits(ONE)]);
}

#[test]
fn hits_of_another_snapshot_are_rejected() {
    let text = format!("{ONE}/6/s");
    let observations = vec![called(ONE), searched(), found(&text, 1)];
    assert_eq!(check(observations), [Violation::MixedSnapshots(ONE)]);
}

#[test]
fn coverage_that_was_not_searched_is_rejected() {
    let text = format!("{ONE}/7/s");
    let observations = vec![called(ONE), found(&text, 1)];
    assert_eq!(check(observations), [Violation::FalseCoverage(ONE)]);
    let observations = vec![called(ONE), searched(), found(&text, 2)];
    assert_eq!(check(observations), [Violation::FalseCoverage(ONE)]);
}

#[test]
fn a_second_answer_is_rejected() {
    let observations = vec![
        called(ONE),
        answered(ONE, refused()),
        answered(ONE, refused()),
    ];
    assert_eq!(check(observations), [Violation::AnsweredTwice(ONE)]);
}

#[test]
fn work_for_a_leaving_upstream_is_rejected() {
    let name = || "u".parse().unwrap();
    let leaving = Observation::Leaving { upstream: name() };
    let started = || Observation::Started { upstream: name() };
    let observations = vec![leaving, started(), started(), started(), started()];
    assert_eq!(check(observations), [Violation::WorkAfterLeaving(name())]);
}

#[test]
fn a_revision_that_reverts_is_rejected() {
    let in_force = |incarnation, revision| Observation::InForce {
        instance: instance(),
        incarnation,
        revision: Revision(revision),
    };
    assert_eq!(
        check(vec![in_force(1, 5), in_force(1, 4)]),
        [Violation::Reverted(instance())]
    );
    assert_eq!(check(vec![in_force(1, 5), in_force(2, 4)]), []);
}

#[test]
fn a_shutdown_that_cuts_a_request_is_rejected() {
    let ended = Observation::Drained {
        instance: instance(),
    };
    assert_eq!(
        check(vec![called(ONE), ended]),
        [Violation::UnansweredAtShutdown(ONE)]
    );
}

#[test]
fn a_request_without_an_answer_is_rejected() {
    assert_eq!(
        check(vec![called(ONE), Observation::End]),
        [Violation::Unanswered(ONE)]
    );
    let hung_up = Observation::CallerDisconnected { request: ONE };
    assert_eq!(check(vec![called(ONE), hung_up, Observation::End]), []);
    let killed = Observation::Killed {
        instance: instance(),
    };
    assert_eq!(check(vec![called(ONE), killed, Observation::End]), []);
}

#[test]
fn a_shutdown_that_does_not_end_is_rejected() {
    let draining = Observation::Draining {
        instance: instance(),
    };
    assert_eq!(
        check(vec![draining, Observation::End]),
        [Violation::NeverEnded(instance())]
    );
}
