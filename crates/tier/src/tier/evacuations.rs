//! Evacuated data centres: what operators ask, and what has changed by it.

use base::{DataCentre, Time};

use super::Tier;
use crate::{
    effect::{Effect, Note},
    evacuation::EvacuationChange,
    event::Protocol,
};

impl<C: Protocol> Tier<C> {
    /// Applies the data centres that are evacuated. Requests in flight there may still complete.
    pub(super) fn on_evacuations(
        &mut self,
        now: Time,
        all: Vec<DataCentre>,
        effects: &mut Vec<Effect<C>>,
    ) {
        let change = self.directory.set_evacuated(now, all.into_iter());
        self.note_evacuations(change, effects);
    }

    /// Reports data centres whose evacuation has begun or ended.
    pub(super) fn note_evacuations(&self, change: EvacuationChange, effects: &mut Vec<Effect<C>>) {
        let left = self.directory.in_use();
        for data_centre in change.begun {
            effects.push(Effect::Note(Note::Evacuated {
                upstreams: self.directory.count_in(&data_centre),
                data_centre,
                left,
            }));
        }
        for data_centre in change.ended {
            effects.push(Effect::Note(Note::EvacuationEnded {
                upstreams: self.directory.count_in(&data_centre),
                data_centre,
            }));
        }
    }
}
