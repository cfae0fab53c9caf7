//! Updates from the store for the instances that follow this one.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::time::sleep;
use platform::{Era, Position, objects::Object};
use wire::handover::{Follow, Payload, Update, UpdatedObject, Watermark};

use super::channel::Channel;
use crate::edge::{shell::Shell, sync::WatchedKind};

/// Interval of watermarks to followers; less than half of the silence after which they watch the
/// store themselves.
const WATERMARK_INTERVAL: Duration = Duration::from_millis(600);

/// Time since the store's last answer after which this instance may be missing changes.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(3_500);

/// Maximum number of removed objects of a kind that are remembered, so that a follower can be sent
/// the changes instead of all objects.
const MAX_REMEMBERED_REMOVALS: usize = 1_024;

/// An instance that follows this one.
struct Follower {
    channel: Weak<Channel<Payload>>,
    /// Positions up to which it was sent each kind,
    /// or `None` for a kind that it wants no updates of.
    known: [Option<Position>; WatchedKind::COUNT],
}

/// Known state of one kind.
#[derive(Default)]
struct KindState {
    /// Position up to which the objects are complete; `None` before the first list.
    position: Option<Position>,
    /// Position since which all removed objects are remembered.
    removals_known_since: Position,
    /// Objects by name, including the remembered removed ones.
    objects: HashMap<Box<str>, UpdatedObject>,
    removed_count: usize,
}

/// The objects that are sent to followers, and the followers.
#[derive(Default)]
pub(in crate::edge) struct Feed {
    kinds: RefCell<[KindState; WatchedKind::COUNT]>,
    followers: RefCell<Vec<Follower>>,
    store_answered_at: Cell<Option<Instant>>,
    /// Whether this instance itself follows another one.
    is_following: Cell<bool>,
}

impl Feed {
    /// Records that the store has answered.
    pub(in crate::edge) fn store_answered(&self) {
        self.store_answered_at.set(Some(Instant::now()));
    }

    /// Records that the store does not answer, and notifies the followers.
    pub(in crate::edge) fn store_lost(&self) {
        self.store_answered_at.set(None);
        self.broadcast(&Payload::StoreLost(true));
    }

    /// Returns whether this instance follows another one.
    pub(in crate::edge) fn is_following(&self) -> bool {
        self.is_following.get()
    }

    /// Records whether this instance follows another one; while it does, it cannot be followed
    /// itself.
    pub(in crate::edge) fn set_following(&self, following: bool) {
        self.is_following.set(following);
        if following {
            self.kinds.take();
            self.broadcast(&Payload::StoreLost(true));
        }
    }

    /// Replaces all objects of a kind and sends updates to the followers.
    pub(in crate::edge) fn set_objects(
        &self,
        kind: WatchedKind,
        objects: &[Object],
        position: Position,
    ) {
        if self.is_following.get() {
            return;
        }
        {
            let state = &mut self.kinds.borrow_mut()[kind as usize];
            *state = KindState {
                position: Some(position),
                removals_known_since: position,
                objects: objects.iter().map(to_updated_object).collect(),
                removed_count: 0,
            };
        }
        if kind == WatchedKind::Evacuations {
            // Followers do not list these again by themselves.
            for follower in self.followers.borrow_mut().iter_mut() {
                let known = &mut follower.known[kind as usize];
                *known = known.map(|_| Position::default());
            }
        }
        self.send_updates();
    }

    /// Applies changes of a kind and sends updates to the followers.
    pub(in crate::edge) fn apply_changes(
        &self,
        kind: WatchedKind,
        objects: &[Object],
        position: Position,
    ) {
        if self.is_following.get() {
            return;
        }
        {
            let state = &mut self.kinds.borrow_mut()[kind as usize];
            state.position = state.position.map(|known| known.max(position));
            state.removed_count += objects.iter().filter(|object| object.is_deleted).count();
            state.objects.extend(objects.iter().map(to_updated_object));
            if state.removed_count > MAX_REMEMBERED_REMOVALS {
                state.objects.retain(|_, object| !object.is_gone);
                state.removed_count = 0;
                state.removals_known_since = position;
            }
        }
        self.send_updates();
    }

    /// Adds a follower, or replaces it, and sends it what it lacks.
    pub(super) fn add_follower(&self, channel: &Rc<Channel<Payload>>, follow: Follow) {
        let is_same = |follower: &Follower| follower.channel.ptr_eq(&Rc::downgrade(channel));
        self.followers.borrow_mut().retain(|it| !is_same(it));
        self.followers.borrow_mut().push(Follower {
            channel: Rc::downgrade(channel),
            known: [
                Some(position(follow.config_era, follow.config)),
                Some(position(follow.upstreams_era, follow.upstreams)),
                follow
                    .evacuations
                    .map(|revision| position(follow.evacuations_era, revision)),
            ],
        });
        self.send_updates();
        channel.push(self.watermark());
    }

    /// Removes a follower.
    pub(super) fn remove_follower(&self, channel: &Rc<Channel<Payload>>) {
        let leaving = Rc::downgrade(channel);
        self.followers
            .borrow_mut()
            .retain(|follower| !follower.channel.ptr_eq(&leaving));
    }

    /// Sends each follower the changes that it does not have yet.
    fn send_updates(&self) {
        let kinds = self.kinds.borrow();
        for follower in self.followers.borrow_mut().iter_mut() {
            let Some(channel) = follower.channel.upgrade() else {
                continue;
            };
            for (kind, state) in kinds.iter().enumerate() {
                let (Some(position), Some(known)) = (state.position, follower.known[kind]) else {
                    continue;
                };
                if position <= known {
                    continue;
                }
                channel.push(Payload::Update(state.since(kind, known, position)));
                follower.known[kind] = Some(position);
            }
        }
        self.followers
            .borrow_mut()
            .retain(|follower| follower.channel.strong_count() > 0);
    }

    /// Returns the watermark for followers, or that the store is lost.
    fn watermark(&self) -> Payload {
        let kinds = self.kinds.borrow();
        let is_up_to_date = self
            .store_answered_at
            .get()
            .is_some_and(|at| at.elapsed() < MAX_STORE_SILENCE);
        let evacuations = kinds[2].position;
        match (kinds[0].position, kinds[1].position) {
            (Some(config), Some(upstreams)) if is_up_to_date && !self.is_following.get() => {
                Payload::Watermark(Watermark {
                    config: config.revision,
                    upstreams: upstreams.revision,
                    config_era: config.era.0,
                    upstreams_era: upstreams.era.0,
                    evacuations: evacuations.map(|it| it.revision),
                    evacuations_era: evacuations.map_or(0, |it| it.era.0),
                })
            }
            _ => Payload::StoreLost(true),
        }
    }

    /// Sends a payload to all followers.
    fn broadcast(&self, payload: &Payload) {
        let channels: Vec<_> = self
            .followers
            .borrow()
            .iter()
            .filter_map(|follower| follower.channel.upgrade())
            .collect();
        for channel in channels {
            channel.push(payload.clone());
        }
    }
}

impl KindState {
    /// Returns the changes since a position, or all objects if removals since then are forgotten or
    /// the position is of an earlier era.
    fn since(&self, kind: usize, known: Position, position: Position) -> Update {
        let is_whole = known < self.removals_known_since;
        let objects = self.objects.values().filter(|object| match is_whole {
            true => !object.is_gone,
            false => object.revision > known.revision,
        });
        Update {
            kind: kind as u32,
            revision: position.revision,
            era: position.era.0,
            is_whole,
            objects: objects.cloned().collect(),
        }
    }
}

/// Returns the position that a message names.
pub(in crate::edge) fn position(era: u64, revision: u64) -> Position {
    Position {
        era: Era(era),
        revision,
    }
}

fn to_updated_object(object: &Object) -> (Box<str>, UpdatedObject) {
    let updated = UpdatedObject {
        name: object.name.to_string(),
        revision: object.revision,
        is_gone: object.is_deleted,
        spec: Bytes::from(object.spec.to_string()),
    };
    (object.name.clone(), updated)
}

/// Sends watermarks to the followers at intervals.
pub(in crate::edge) async fn send_watermarks(shell: Rc<Shell>) {
    loop {
        sleep(WATERMARK_INTERVAL).await;
        if !shell.feed.followers.borrow().is_empty() {
            let watermark = shell.feed.watermark();
            shell.feed.broadcast(&watermark);
        }
    }
}
