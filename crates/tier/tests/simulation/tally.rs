//! What callers got.

use std::time::Duration;

use base::Time;

use super::replies::SearchResult;

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    /// Requests.
    pub(crate) asked: u32,
    /// Successes within the objective.
    pub(crate) in_time: u32,
    /// Successes after it.
    pub(crate) late: u32,
    /// Refusals of callers that asked for the first time.
    pub(crate) refused: u32,
    /// Refusals of callers that came back.
    pub(crate) refused_again: u32,
    /// Successes of callers that came back, within the objective from then on.
    pub(crate) returned: u32,
    /// Failures.
    pub(crate) failed: u32,
    /// Sum of the squared coverage of successes in time; half counts for callers that came back.
    pub(crate) credit: f64,
    /// Requests that reached upstreams.
    pub(crate) arrivals: u32,
    /// Those of them that came from another data centre.
    pub(crate) crossing: u32,
}

impl Tally {
    /// Counts the end of one request.
    pub(super) fn count(
        &mut self,
        now: Time,
        objective: Duration,
        caller: Caller,
        result: SearchResult,
    ) {
        let is_return = caller.first < caller.asked;
        let in_time = now.since(caller.asked) <= objective;
        match result {
            SearchResult::Covered(share) if in_time && is_return => {
                self.returned += 1;
                self.credit += share * share * RETURN_CREDIT;
            }
            SearchResult::Covered(share) if in_time => {
                self.in_time += 1;
                self.credit += share * share;
            }
            SearchResult::Covered(_) => self.late += 1,
            SearchResult::Refused if is_return => self.refused_again += 1,
            SearchResult::Refused => self.refused += 1,
            SearchResult::Failed => self.failed += 1,
        }
    }

    /// Adds what callers got at another time.
    pub(crate) fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_again += other.refused_again;
        self.returned += other.returned;
        self.failed += other.failed;
        self.credit += other.credit;
        self.arrivals += other.arrivals;
        self.crossing += other.crossing;
    }
}

/// A caller that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller {
    /// When it asked for the first time.
    pub(super) first: Time,
    /// When it asked last.
    pub(super) asked: Time,
}

/// Credit of an answer in time after a refusal: the mean of full credit and that of a late answer.
const RETURN_CREDIT: f64 = 0.55;
