//! Events of a simulation other than requests: configurations and pauses.

use std::{collections::HashMap, rc::Rc, time::Duration};

use rand::Rng;
use tier::{Config, Event, config::Limits};

use super::{Simulation, Step};

impl Simulation {
    /// Applies a configuration without routes.
    pub(crate) fn configure_without_index(&mut self) {
        let config = Config::new(2, Vec::new(), HashMap::new(), Limits::default());
        let config = Rc::new(config);
        for instance in 0..self.tiers.len() {
            self.deliver(instance, Event::Config(Rc::clone(&config)));
        }
    }

    /// Returns the number of ready instances.
    pub(crate) fn ready(&self) -> usize {
        self.tiers.iter().filter(|tier| tier.is_ready()).count()
    }

    /// Pauses an upstream for a time.
    pub(crate) fn pause(&mut self, upstream: usize, time: Duration) {
        self.upstreams[upstream].paused_until = self.now + time;
        self.schedule(self.now + time, Step::Resume(upstream));
    }

    /// Schedules pauses of each upstream within a time from now on, at the interval `every`.
    pub(crate) fn schedule_pauses(&mut self, time: Duration, every: Duration, length: Duration) {
        for upstream in 0..self.upstreams.len() {
            let mut after = every.mul_f64(self.rng.random());
            while after < time {
                self.schedule(self.now + after, Step::Pause(upstream, length));
                after += every;
            }
        }
    }
}
