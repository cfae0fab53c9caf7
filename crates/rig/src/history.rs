//! Recorded histories of concurrent runs, and the checker of their invariants.

use std::collections::{BTreeMap, BTreeSet};

use base::{
    IdempotencyKey, InstanceName, RequestId, Revision, ShardName, SnapshotId, Time, UpstreamName,
};
use node::{Answer, SearchResults};

/// Time after its announcement during which a leaving upstream may still receive new work.
const MAX_WORK_AFTER_LEAVING: std::time::Duration = std::time::Duration::from_secs(3);

/// An event that is observable from outside the instances.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A caller sent a request.
    Called {
        /// The request.
        request: RequestId,
        /// Idempotency key of a request of the once class.
        key: Option<IdempotencyKey>,
        /// Instance that received it.
        instance: InstanceName,
    },
    /// A caller received its answer.
    Answered {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// An upstream completed the search of one shard.
    Searched {
        /// The request.
        request: RequestId,
        /// Shard that was searched.
        shard: ShardName,
        /// Snapshot that was searched.
        snapshot: SnapshotId,
    },
    /// An upstream started to process a request.
    Started {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// An upstream started to execute a request of the once class.
    Ran {
        /// The request.
        request: RequestId,
        /// Its idempotency key.
        key: IdempotencyKey,
    },
    /// An upstream was announced as leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A revision came into force at an instance.
    InForce {
        /// The instance.
        instance: InstanceName,
        /// Incarnation of the instance.
        incarnation: u64,
        /// The revision.
        revision: Revision,
    },
    /// An instance was asked to shut down.
    Draining {
        /// The instance.
        instance: InstanceName,
    },
    /// An instance exited after a graceful shutdown.
    Drained {
        /// The instance.
        instance: InstanceName,
    },
    /// A caller closed its connection before it received the answer.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The recording ends. The last request and the last fault are long past, so all requests
    /// must have been answered.
    End,
    /// An instance was killed; its callers receive no answers.
    Killed {
        /// The instance.
        instance: InstanceName,
    },
}

/// Observations in the order in which they were recorded.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Each observation with its time.
    pub observations: Vec<(Time, Observation)>,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A request of the once class ran more than once.
    RanTwice(IdempotencyKey),
    /// A request ran although its answer states that it did not.
    RanAfterRefusal(RequestId),
    /// A caller received the outcome of a request that never ran.
    NeverRan(RequestId),
    /// A caller received the outcome of a request other than the one that the answer names.
    ForeignOutcome(RequestId),
    /// An answer contains hits of another request.
    ForeignHits(RequestId),
    /// An answer contains hits of another snapshot.
    MixedSnapshots(RequestId),
    /// An answer reports coverage that the searches of the upstreams contradict.
    FalseCoverage(RequestId),
    /// A request received two answers.
    AnsweredTwice(RequestId),
    /// An upstream received new work too long after it was announced as leaving.
    WorkAfterLeaving(UpstreamName),
    /// An instance returned to an earlier revision.
    Reverted(InstanceName),
    /// A graceful shutdown left a request without an answer.
    UnansweredAtShutdown(RequestId),
    /// A request at an instance that was not killed received no answer.
    Unanswered(RequestId),
    /// A graceful shutdown did not complete.
    NeverEnded(InstanceName),
}

impl History {
    /// Appends an observation.
    pub fn push(&mut self, now: Time, observation: Observation) {
        self.observations.push((now, observation));
    }

    /// Returns all violations in the history.
    pub fn check(&self) -> BTreeSet<Violation> {
        let mut checker = Checker::default();
        // A run may be recorded after its answer, so all runs are collected first.
        for (_, observation) in &self.observations {
            checker.record_run(observation);
        }
        for (now, observation) in &self.observations {
            checker.observe(*now, observation);
        }
        checker.finish()
    }
}

#[derive(Debug, Default)]
struct Checker {
    runs: BTreeMap<IdempotencyKey, Vec<RequestId>>,
    ran: BTreeSet<RequestId>,
    searched: BTreeSet<(RequestId, SnapshotId, ShardName)>,
    /// Requests without an answer, with their instances.
    unanswered: BTreeMap<RequestId, InstanceName>,
    keys: BTreeMap<RequestId, IdempotencyKey>,
    answered: BTreeSet<RequestId>,
    leaving: BTreeMap<UpstreamName, Time>,
    in_force: BTreeMap<(InstanceName, u64), Revision>,
    draining: BTreeSet<InstanceName>,
    violations: BTreeSet<Violation>,
}

impl Checker {
    fn record_run(&mut self, observation: &Observation) {
        if let Observation::Ran { request, key } = observation {
            self.runs.entry(key.clone()).or_default().push(*request);
            self.ran.insert(*request);
        }
    }

    fn observe(&mut self, now: Time, observation: &Observation) {
        match observation {
            Observation::Called {
                request,
                key,
                instance,
            } => {
                self.unanswered.insert(*request, instance.clone());
                self.keys.extend(key.clone().map(|key| (*request, key)));
            }
            Observation::Answered { request, answer } => self.check_answer(*request, answer),
            Observation::Searched {
                request,
                shard,
                snapshot,
            } => {
                self.searched.insert((*request, *snapshot, shard.clone()));
            }
            Observation::Started { upstream } => self.check_start(now, upstream),
            Observation::Ran { .. } => {}
            Observation::Leaving { upstream } => {
                self.leaving.entry(upstream.clone()).or_insert(now);
            }
            Observation::InForce {
                instance,
                incarnation,
                revision,
            } => {
                let previous = self
                    .in_force
                    .insert((instance.clone(), *incarnation), *revision);
                if previous.is_some_and(|previous| previous > *revision) {
                    self.violations
                        .insert(Violation::Reverted(instance.clone()));
                }
            }
            Observation::Draining { instance } => {
                self.draining.insert(instance.clone());
            }
            Observation::CallerDisconnected { request } => {
                self.unanswered.remove(request);
            }
            Observation::End => self.check_end(),
            Observation::Drained { instance } => self.check_drained(instance),
            Observation::Killed { instance } => {
                self.unanswered.retain(|_, at| at != instance);
                self.draining.remove(instance);
            }
        }
    }

    fn check_answer(&mut self, request: RequestId, answer: &Answer) {
        self.unanswered.remove(&request);
        if !self.answered.insert(request) {
            self.violations.insert(Violation::AnsweredTwice(request));
        }
        match answer {
            Answer::Results(results) => self.check_results(request, results),
            Answer::Done {
                request: named,
                outcome,
                ..
            } => {
                // Simulated upstreams name the request in its outcome. The outcome is "null" if it
                // was too large to be kept.
                let text = String::from_utf8_lossy(outcome);
                if !text.contains(&named.to_string()) && text != "null" {
                    self.violations.insert(Violation::ForeignOutcome(request));
                }
                let key = self.keys.get(&request);
                let runs = key.and_then(|key| self.runs.get(key));
                if !runs.is_some_and(|runs| runs.contains(named)) {
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

    fn check_results(&mut self, request: RequestId, results: &SearchResults) {
        let mut shards = BTreeSet::new();
        for hit in &results.hits {
            let mut fields = hit.text.splitn(3, '/');
            let request_in_hit = fields.next().and_then(|text| text.parse().ok());
            let snapshot = fields.next().and_then(|text| text.parse().ok());
            if request_in_hit != Some(request) || results.request != request {
                self.violations.insert(Violation::ForeignHits(request));
            }
            if snapshot != Some(results.snapshot) {
                self.violations.insert(Violation::MixedSnapshots(request));
            }
            shards.extend(
                fields
                    .next()
                    .and_then(|text| text.parse::<ShardName>().ok()),
            );
        }
        let coverage = &results.coverage;
        let searched = |shard: &ShardName| {
            self.searched
                .contains(&(request, results.snapshot, shard.clone()))
        };
        let counted = usize::try_from(coverage.answered) == Ok(shards.len())
            && coverage.asked as usize == shards.len() + coverage.missing.len();
        let disjoint = coverage.missing.iter().all(|shard| !shards.contains(shard));
        if !counted || !disjoint || !shards.iter().all(searched) {
            self.violations.insert(Violation::FalseCoverage(request));
        }
    }

    fn check_start(&mut self, now: Time, upstream: &UpstreamName) {
        if self
            .leaving
            .get(upstream)
            .is_some_and(|since| now.since(*since) > MAX_WORK_AFTER_LEAVING)
        {
            self.violations
                .insert(Violation::WorkAfterLeaving(upstream.clone()));
        }
    }

    fn check_end(&mut self) {
        let unanswered = self.unanswered.keys().copied().map(Violation::Unanswered);
        self.violations.extend(unanswered);
        let draining = self.draining.iter().cloned();
        self.violations.extend(draining.map(Violation::NeverEnded));
    }

    fn check_drained(&mut self, instance: &InstanceName) {
        self.draining.remove(instance);
        for (request, at) in &self.unanswered {
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
