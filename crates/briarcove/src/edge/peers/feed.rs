//! News of the platform for instances that follow this one.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::time::sleep;
use platform::store::Object;
use wire::handover::{Follow, Payload, Update, UpdatedObject, Watermark};

use super::channel::Channel;
use crate::edge::{shell::Shell, sync::Watched};

/// Interval at which followers hear that all is well; less than half of the time after which they
/// watch by themselves.
const BEAT_INTERVAL: Duration = Duration::from_millis(600);

/// Time without a sign of the store after which this instance may be missing changes.
const SOUND_WITHIN: Duration = Duration::from_millis(3_500);

/// Removed objects of a kind that are remembered, so that a follower need not take all objects.
const MAX_REMOVED: usize = 1_024;

/// An instance that follows this one.
struct Follower {
    channel: Weak<Channel<Payload>>,
    /// Revisions up to which it knows each kind.
    seen: [u64; 2],
}

/// What is known of one kind.
#[derive(Default)]
struct Known {
    /// Revision up to which this is complete; none before the first list.
    revision: Option<u64>,
    /// Revision from which on removed objects are remembered.
    removed_since: u64,
    objects: HashMap<Box<str>, UpdatedObject>,
    removed: usize,
}

/// The objects that followers are told of.
#[derive(Default)]
pub(in crate::edge) struct Feed {
    kinds: RefCell<[Known; 2]>,
    followers: RefCell<Vec<Follower>>,
    sound_at: Cell<Option<Instant>>,
    /// Whether this instance itself follows another.
    is_following: Cell<bool>,
}

impl Feed {
    /// Notes that the store has answered.
    pub(in crate::edge) fn sound(&self) {
        self.sound_at.set(Some(Instant::now()));
    }

    /// Notes that the store does not answer.
    pub(in crate::edge) fn lost(&self) {
        self.sound_at.set(None);
        self.tell_all(&Payload::StoreLost(true));
    }

    /// Returns whether this instance follows another.
    pub(in crate::edge) fn is_following(&self) -> bool {
        self.is_following.get()
    }

    /// Notes whether this instance follows another; one that does has no news of its own.
    pub(in crate::edge) fn set_following(&self, following: bool) {
        self.is_following.set(following);
        if following {
            self.kinds.take();
            self.tell_all(&Payload::StoreLost(true));
        }
    }

    /// Takes all objects of a kind.
    pub(in crate::edge) fn list(&self, kind: Watched, objects: &[Object], revision: u64) {
        if self.is_following.get() {
            return;
        }
        {
            let known = &mut self.kinds.borrow_mut()[kind as usize];
            *known = Known {
                revision: Some(revision),
                removed_since: revision,
                objects: objects.iter().map(named).collect(),
                removed: 0,
            };
        }
        self.push();
    }

    /// Takes changes of a kind.
    pub(in crate::edge) fn change(&self, kind: Watched, objects: &[Object], revision: u64) {
        if self.is_following.get() {
            return;
        }
        {
            let known = &mut self.kinds.borrow_mut()[kind as usize];
            known.revision = known.revision.map(|known| known.max(revision));
            known.removed += objects.iter().filter(|object| object.is_deleted).count();
            known.objects.extend(objects.iter().map(named));
            if known.removed > MAX_REMOVED {
                known.objects.retain(|_, object| !object.is_gone);
                known.removed = 0;
                known.removed_since = revision;
            }
        }
        self.push();
    }

    /// Takes a follower.
    pub(super) fn follow(&self, channel: &Rc<Channel<Payload>>, follow: Follow) {
        let same = |follower: &Follower| follower.channel.ptr_eq(&Rc::downgrade(channel));
        self.followers.borrow_mut().retain(|it| !same(it));
        self.followers.borrow_mut().push(Follower {
            channel: Rc::downgrade(channel),
            seen: [follow.config, follow.upstreams],
        });
        self.push();
        channel.push(self.beat());
    }

    /// Forgets a follower.
    pub(super) fn unfollow(&self, channel: &Rc<Channel<Payload>>) {
        let leaving = Rc::downgrade(channel);
        self.followers
            .borrow_mut()
            .retain(|follower| !follower.channel.ptr_eq(&leaving));
    }

    /// Tells each follower what it does not know yet.
    fn push(&self) {
        let kinds = self.kinds.borrow();
        for follower in self.followers.borrow_mut().iter_mut() {
            let Some(channel) = follower.channel.upgrade() else {
                continue;
            };
            for (kind, known) in kinds.iter().enumerate() {
                let Some(revision) = known.revision else {
                    continue;
                };
                let seen = follower.seen[kind];
                if revision <= seen {
                    continue;
                }
                channel.push(Payload::Update(known.since(kind, seen, revision)));
                follower.seen[kind] = revision;
            }
        }
        self.followers
            .borrow_mut()
            .retain(|follower| follower.channel.strong_count() > 0);
    }

    fn beat(&self) -> Payload {
        let kinds = self.kinds.borrow();
        let is_fresh = self
            .sound_at
            .get()
            .is_some_and(|at| at.elapsed() < SOUND_WITHIN);
        match (kinds[0].revision, kinds[1].revision) {
            (Some(config), Some(upstreams)) if is_fresh && !self.is_following.get() => {
                Payload::Watermark(Watermark { config, upstreams })
            }
            _ => Payload::StoreLost(true),
        }
    }

    fn tell_all(&self, said: &Payload) {
        let channels: Vec<_> = self
            .followers
            .borrow()
            .iter()
            .filter_map(|follower| follower.channel.upgrade())
            .collect();
        for channel in channels {
            channel.push(said.clone());
        }
    }
}

impl Known {
    /// Returns what changed since a revision, or everything when removals since are forgotten.
    fn since(&self, kind: usize, seen: u64, revision: u64) -> Update {
        let is_whole = seen < self.removed_since;
        let objects = self.objects.values().filter(|object| match is_whole {
            true => !object.is_gone,
            false => object.revision > seen,
        });
        Update {
            kind: kind as u32,
            revision,
            is_whole,
            objects: objects.cloned().collect(),
        }
    }
}

fn named(object: &Object) -> (Box<str>, UpdatedObject) {
    let news = UpdatedObject {
        name: object.name.to_string(),
        revision: object.revision,
        is_gone: object.is_deleted,
        spec: Bytes::from(object.spec.to_string()),
    };
    (object.name.clone(), news)
}

/// Tells followers at intervals that all is well.
pub(in crate::edge) async fn beat(shell: Rc<Shell>) {
    loop {
        sleep(BEAT_INTERVAL).await;
        if !shell.feed.followers.borrow().is_empty() {
            let beat = shell.feed.beat();
            shell.feed.tell_all(&beat);
        }
    }
}
