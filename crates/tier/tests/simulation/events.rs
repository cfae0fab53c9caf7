//! What happens in a world besides the usual load.

use std::{collections::HashMap, rc::Rc, time::Duration};

use rand::Rng;
use tier::{Config, Event, config::Limits};

use super::{Simulation, Step};

impl Simulation {
    /// Puts a configuration without routes in force.
    pub(crate) fn configure_without_index(&mut self) {
        let config = Config::new(2, Vec::new(), HashMap::new(), Limits::default());
        let config = Rc::new(config);
        for instance in 0..self.tiers.len() {
            self.deliver(instance, Event::Config(Rc::clone(&config)));
        }
    }

    /// Returns the number of instances that are ready.
    pub(crate) fn ready(&self) -> usize {
        self.tiers.iter().filter(|tier| tier.is_ready()).count()
    }

    /// Has an upstream stand still for a time.
    pub(crate) fn pause(&mut self, upstream: usize, time: Duration) {
        self.upstreams[upstream].paused_until = self.now + time;
        self.schedule(self.now + time, Step::Resume(upstream));
    }

    /// Has each upstream stand still now and then from now on, as often as `every` says.
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
