//! Searches that instances hand to each other.

use std::time::Duration;

use base::{CallId, InstanceName};
use tier::{Effect, Event, HandOverOutcome, Head, Origin, event::BranchHead};

use super::{Sim, Step, WAY, World};

/// Returns the position of an instance.
fn number(name: &InstanceName) -> usize {
    name.as_str().rsplit('-').next().unwrap().parse().unwrap()
}

impl World {
    /// Carries out what one instance asks of another.
    pub(super) fn between(&mut self, instance: usize, effect: Effect<Sim>) {
        match effect {
            Effect::HandOver(order) => {
                let to = usize::from(order.address.port());
                let step = Step::Handed(to, instance, order.call);
                self.sent.insert((instance, order.call), to);
                self.orders.insert((instance, order.call), order);
                self.plan(self.now + WAY, step);
            }
            Effect::Confirm(..) => {}
            Effect::Withdraw(call, _) => {
                self.sent.remove(&(instance, call));
                self.orders.remove(&(instance, call));
                self.ends.remove(&(instance, call));
            }
            Effect::Disconnect(name) => {
                let other = number(&name);
                let had = |to: &usize| *to == other;
                let calls: Vec<CallId> = (self.sent.iter())
                    .filter(|((from, _), to)| *from == instance && had(to))
                    .map(|((_, call), _)| *call)
                    .collect();
                for call in calls {
                    self.sent.remove(&(instance, call));
                    self.tell(
                        instance,
                        Event::HandOverEnded(call, HandOverOutcome::Broken),
                    );
                }
            }
            Effect::Ping(name) => {
                if !self.frozen[number(&name)] {
                    self.tell(instance, Event::InstanceAlive(name));
                }
            }
            _ => unreachable!("{effect:?} concerns no other instance"),
        }
    }

    /// Has an instance stand still for good.
    pub(crate) fn freeze(&mut self, instance: usize) {
        self.frozen[instance] = true;
    }

    pub(super) fn take_handed(&mut self, to: usize, from: usize, call: CallId) {
        let Some(order) = self.orders.remove(&(from, call)) else {
            return;
        };
        if self.frozen[to] {
            return;
        }
        let id = self.next_call;
        self.next_call = id.next();
        self.handed.insert((to, id), (from, call));
        let head = Head {
            id: call.to_string().into(),
            host: "search.example".into(),
            path: "/x".into(),
            time_left: Some(order.deadline.since(self.now)),
            age: Duration::ZERO,
            digest: 1,
            origin: Origin::Instance {
                version: order.version,
                was_refused: order.was_refused,
                may_have_run: order.may_have_run,
            },
            branch: order.branch.map(|branch| BranchHead {
                shards: branch.shards,
                min_parts: branch.min_parts,
                due: branch.soft_deadline.since(self.now),
                is_confirmed: branch.is_confirmed,
            }),
        };
        self.tell(from, Event::InstanceAlive(order.to));
        self.tell(to, Event::Call(id, head, ()));
        self.tell(to, Event::Confirmed(id));
    }
}
