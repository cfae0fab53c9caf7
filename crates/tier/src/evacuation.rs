//! Evacuations: the data centres whose upstreams get nothing new, as an operator has asked.
//!
//! Load pattern: a data centre with a third of the replicas is emptied at once and returns at once,
//! while the platform may lose the request or the instance may just have started. Its upstreams are
//! sound and reachable, so no failure shows what was asked.

use std::collections::BTreeSet;

use base::{DataCentre, Time};

/// The evacuated data centres.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// The data centres that were listed last; `None` until they are known.
    listed: Option<BTreeSet<DataCentre>>,
    /// Data centres that the platform may have lost, evacuated until `hold_until`.
    held: BTreeSet<DataCentre>,
    hold_until: Time,
}

/// Data centres whose evacuation has begun or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Those that are now evacuated.
    pub begun: Vec<DataCentre>,
    /// Those that no longer are.
    pub ended: Vec<DataCentre>,
}

impl Evacuations {
    /// Replaces the evacuated data centres; those that the platform may have lost stay for a while.
    pub fn set(&mut self, now: Time, all: impl Iterator<Item = DataCentre>) -> EvacuationChange {
        let before = self.all();
        self.listed = Some(all.collect());
        self.release(now);
        self.change_since(&before)
    }

    /// Keeps the present evacuations until a time, as the platform may have come back without them.
    pub fn hold(&mut self, until: Time) {
        self.held = self.all();
        self.hold_until = until;
    }

    /// Ends the evacuations that are held no longer and that the platform does not list.
    pub fn end_hold(&mut self, now: Time) -> EvacuationChange {
        let before = self.all();
        self.release(now);
        self.change_since(&before)
    }

    /// Returns whether the evacuations are known.
    pub fn are_known(&self) -> bool {
        self.listed.is_some()
    }

    /// Returns whether a data centre is evacuated.
    pub fn has(&self, data_centre: &DataCentre) -> bool {
        let is_listed = self
            .listed
            .as_ref()
            .is_some_and(|it| it.contains(data_centre));
        is_listed || self.held.contains(data_centre)
    }

    fn all(&self) -> BTreeSet<DataCentre> {
        let listed = self.listed.iter().flatten();
        listed.chain(&self.held).cloned().collect()
    }

    fn release(&mut self, now: Time) {
        if now >= self.hold_until {
            self.held.clear();
        }
    }

    fn change_since(&self, before: &BTreeSet<DataCentre>) -> EvacuationChange {
        let after = self.all();
        EvacuationChange {
            begun: after.difference(before).cloned().collect(),
            ended: before.difference(&after).cloned().collect(),
        }
    }
}
