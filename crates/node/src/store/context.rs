//! What the upkeep of the store needs from the rest of the reducer.

use std::net::SocketAddr;

use base::{InstanceName, OpId, Time, Version};

use crate::effect::{Effect, PlatformOp};

/// What a step of the reducer may use.
#[derive(Debug)]
pub struct Context<'a> {
    /// Time of the event.
    pub now: Time,
    /// Last operation id that was given out.
    pub ops: &'a mut OpId,
    /// What is to be done.
    pub effects: &'a mut Vec<Effect>,
}

impl Context<'_> {
    /// Calls the platform under a new operation id.
    pub(crate) fn platform(&mut self, op: PlatformOp) -> OpId {
        *self.ops = self.ops.next();
        self.effects.push(Effect::Platform(*self.ops, op));
        *self.ops
    }
}

/// A live peer and how far its store is.
#[derive(Clone, Debug)]
pub struct PeerStatus<'a> {
    /// Name of the peer.
    pub name: &'a InstanceName,
    /// Address of the peer.
    pub address: SocketAddr,
    /// Greatest version of which the peer told.
    pub seen: Version,
    /// Whether the peer is a watcher of this instance's data centre.
    pub is_watcher: bool,
}

/// What the store's upkeep needs to know of the membership.
pub trait Peers {
    /// Returns the live peers of every data centre.
    fn statuses(&self) -> impl Iterator<Item = PeerStatus<'_>>;
    /// Returns whether this instance is a watcher of its data centre.
    fn is_watcher(&self) -> bool;
}
