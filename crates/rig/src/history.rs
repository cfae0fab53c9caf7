//! Histories of concurrent runs, and the check of what must always hold.

use std::collections::{BTreeMap, BTreeSet};

use base::{
    IdempotencyKey, InstanceName, RequestId, Revision, ShardName, SnapshotId, Time, UpstreamName,
};
use node::{Answer, SearchResults};

/// Time after the first sign within which an upstream that is leaving may get new work.
const LEAVING_BOUND: std::time::Duration = std::time::Duration::from_secs(3);

/// One thing that was seen from outside the instances.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A caller sent a request.
    Called {
        /// Identity given to the request.
        request: RequestId,
        /// Key of a request of the once class.
        key: Option<IdempotencyKey>,
        /// Instance that took it.
        instance: InstanceName,
    },
    /// A caller got its answer.
    Answered {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// An upstream finished a search of one shard.
    Searched {
        /// The request.
        request: RequestId,
        /// Shard that was searched.
        shard: ShardName,
        /// Snapshot that was searched.
        snapshot: SnapshotId,
    },
    /// An upstream started to work on something.
    Started {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// An upstream began to carry out a request of the once class.
    Ran {
        /// The request.
        request: RequestId,
        /// Its key.
        key: IdempotencyKey,
    },
    /// An upstream was first said to be leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A revision came into force at an instance.
    InForce {
        /// The instance, in one of its lives.
        instance: InstanceName,
        /// Count of the instance's starts.
        life: u64,
        /// The revision.
        revision: Revision,
    },
    /// An instance was asked to shut down.
    Draining {
        /// The instance.
        instance: InstanceName,
    },
    /// An instance ended after it was asked to.
    Drained {
        /// The instance.
        instance: InstanceName,
    },
    /// A caller closed its connection before the answer.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The record ends, long after the last request and the last fault.
    End,
    /// An instance was killed; its callers get no answers.
    Killed {
        /// The instance.
        instance: InstanceName,
    },
}

/// What was seen, in order.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Each thing with its time.
    pub observations: Vec<(Time, Observation)>,
}

/// A promise that a history breaks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A request of the once class ran more than once.
    RanTwice(IdempotencyKey),
    /// A request that was refused as not run did run.
    RanAfterRefusal(RequestId),
    /// A caller was told an outcome of a request that never ran.
    NeverRan(RequestId),
    /// A caller was told the outcome of another request than the answer names.
    ForeignOutcome(RequestId),
    /// An answer holds hits of another request.
    ForeignHits(RequestId),
    /// An answer holds hits of another snapshot.
    MixedSnapshots(RequestId),
    /// An answer reports coverage that the upstreams' record contradicts.
    FalseCoverage(RequestId),
    /// A request got two answers.
    AnsweredTwice(RequestId),
    /// An upstream got new work too long after it was said to be leaving.
    WorkAfterLeaving(UpstreamName),
    /// An instance went back to an earlier revision.
    Reverted(InstanceName),
    /// A graceful shutdown left a request without an answer.
    UnansweredAtShutdown(RequestId),
    /// A request at an instance that lived on got no answer.
    Unanswered(RequestId),
    /// A graceful shutdown did not end.
    NeverEnded(InstanceName),
}

impl History {
    /// Records one thing.
    pub fn push(&mut self, now: Time, seen: Observation) {
        self.observations.push((now, seen));
    }

    /// Returns every promise that the history breaks.
    pub fn check(&self) -> BTreeSet<Violation> {
        let mut check = Check::default();
        // A run may follow its answer in the record, so all runs are known first.
        for (_, seen) in &self.observations {
            check.note_run(seen);
        }
        for (now, seen) in &self.observations {
            check.step(*now, seen);
        }
        check.finish()
    }
}

#[derive(Debug, Default)]
struct Check {
    runs: BTreeMap<IdempotencyKey, Vec<RequestId>>,
    ran: BTreeSet<RequestId>,
    searched: BTreeSet<(RequestId, SnapshotId, ShardName)>,
    /// Requests without an answer, at their instances.
    open: BTreeMap<RequestId, InstanceName>,
    keys: BTreeMap<RequestId, IdempotencyKey>,
    answered: BTreeSet<RequestId>,
    leaving: BTreeMap<UpstreamName, Time>,
    in_force: BTreeMap<(InstanceName, u64), Revision>,
    draining: BTreeSet<InstanceName>,
    violations: BTreeSet<Violation>,
}

impl Check {
    fn note_run(&mut self, seen: &Observation) {
        if let Observation::Ran { request, key } = seen {
            self.runs.entry(key.clone()).or_default().push(*request);
            self.ran.insert(*request);
        }
    }

    fn step(&mut self, now: Time, seen: &Observation) {
        match seen {
            Observation::Called {
                request,
                key,
                instance,
            } => {
                self.open.insert(*request, instance.clone());
                self.keys.extend(key.clone().map(|key| (*request, key)));
            }
            Observation::Answered { request, answer } => self.answered(*request, answer),
            Observation::Searched {
                request,
                shard,
                snapshot,
            } => {
                self.searched.insert((*request, *snapshot, shard.clone()));
            }
            Observation::Started { upstream } => self.started(now, upstream),
            Observation::Ran { .. } => {}
            Observation::Leaving { upstream } => {
                self.leaving.entry(upstream.clone()).or_insert(now);
            }
            Observation::InForce {
                instance,
                life,
                revision,
            } => {
                let held = self.in_force.insert((instance.clone(), *life), *revision);
                if held.is_some_and(|held| held > *revision) {
                    self.violations
                        .insert(Violation::Reverted(instance.clone()));
                }
            }
            Observation::Draining { instance } => {
                self.draining.insert(instance.clone());
            }
            Observation::CallerDisconnected { request } => {
                self.open.remove(request);
            }
            Observation::End => self.end(),
            Observation::Drained { instance } => self.drained(instance),
            Observation::Killed { instance } => {
                self.open.retain(|_, at| at != instance);
                self.draining.remove(instance);
            }
        }
    }

    fn answered(&mut self, request: RequestId, answer: &Answer) {
        self.open.remove(&request);
        if !self.answered.insert(request) {
            self.violations.insert(Violation::AnsweredTwice(request));
        }
        match answer {
            Answer::Results(found) => self.found(request, found),
            Answer::Done {
                request: told,
                outcome,
                ..
            } => {
                // Simulated upstreams name the request in its outcome; a large one is not kept.
                let text = String::from_utf8_lossy(outcome);
                if !text.contains(&told.to_string()) && text != "null" {
                    self.violations.insert(Violation::ForeignOutcome(request));
                }
                let key = self.keys.get(&request);
                let runs = key.and_then(|key| self.runs.get(key));
                if !runs.is_some_and(|runs| runs.contains(told)) {
                    self.violations.insert(Violation::NeverRan(request));
                }
            }
            Answer::Refused(_) => {
                if self.ran.contains(&request) {
                    self.violations.insert(Violation::RanAfterRefusal(request));
                }
            }
            Answer::Unknown { .. } => {}
            Answer::Expired => {
                if self.ran.contains(&request) {
                    self.violations.insert(Violation::RanAfterRefusal(request));
                }
            }
        }
    }

    fn found(&mut self, request: RequestId, found: &SearchResults) {
        let mut shards = BTreeSet::new();
        for hit in &found.hits {
            let mut fields = hit.text.splitn(3, '/');
            let told = fields.next().and_then(|text| text.parse().ok());
            let snapshot = fields.next().and_then(|text| text.parse().ok());
            if told != Some(request) || found.request != request {
                self.violations.insert(Violation::ForeignHits(request));
            }
            if snapshot != Some(found.snapshot) {
                self.violations.insert(Violation::MixedSnapshots(request));
            }
            shards.extend(
                fields
                    .next()
                    .and_then(|text| text.parse::<ShardName>().ok()),
            );
        }
        let coverage = &found.coverage;
        let searched = |shard: &ShardName| {
            self.searched
                .contains(&(request, found.snapshot, shard.clone()))
        };
        let counted = usize::try_from(coverage.answered) == Ok(shards.len())
            && coverage.asked as usize == shards.len() + coverage.missing.len();
        let disjoint = coverage.missing.iter().all(|shard| !shards.contains(shard));
        if !counted || !disjoint || !shards.iter().all(searched) {
            self.violations.insert(Violation::FalseCoverage(request));
        }
    }

    fn started(&mut self, now: Time, upstream: &UpstreamName) {
        if self
            .leaving
            .get(upstream)
            .is_some_and(|since| now.since(*since) > LEAVING_BOUND)
        {
            self.violations
                .insert(Violation::WorkAfterLeaving(upstream.clone()));
        }
    }

    fn end(&mut self) {
        let unanswered = self.open.keys().copied().map(Violation::Unanswered);
        self.violations.extend(unanswered);
        let draining = self.draining.iter().cloned();
        self.violations.extend(draining.map(Violation::NeverEnded));
    }

    fn drained(&mut self, instance: &InstanceName) {
        self.draining.remove(instance);
        for (request, at) in &self.open {
            if at == instance {
                self.violations
                    .insert(Violation::UnansweredAtShutdown(*request));
            }
        }
    }

    fn finish(mut self) -> BTreeSet<Violation> {
        for (key, runs) in &self.runs {
            if runs.len() > 1 {
                self.violations.insert(Violation::RanTwice(key.clone()));
            }
        }
        self.violations
    }
}
