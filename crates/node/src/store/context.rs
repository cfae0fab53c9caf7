//! Interface between the store's synchronisation and the rest of the reducer.

use std::net::SocketAddr;

use base::{InstanceName, OpId, Time, Version};

use crate::effect::{Effect, PlatformOp};

/// Inputs and outputs of one step of the reducer.
#[derive(Debug)]
pub struct Context<'a> {
    /// Time of the event.
    pub now: Time,
    /// Last operation id that was used.
    pub ops: &'a mut OpId,
    /// Effects of the step.
    pub effects: &'a mut Vec<Effect>,
}

impl Context<'_> {
    /// Starts a call to the platform and returns its operation id.
    pub(crate) fn platform(&mut self, op: PlatformOp) -> OpId {
        *self.ops = self.ops.next();
        self.effects.push(Effect::Platform(*self.ops, op));
        *self.ops
    }
}

/// A live peer and the progress of its store.
#[derive(Clone, Debug)]
pub struct PeerStatus<'a> {
    /// Name of the peer.
    pub name: &'a InstanceName,
    /// Address of the peer.
    pub address: SocketAddr,
    /// Greatest version that the peer has reported.
    pub seen: Version,
    /// Whether the peer is a watcher of this instance's data centre.
    pub is_watcher: bool,
}

/// The membership as the store's synchronisation sees it.
pub trait Peers {
    /// Returns the live peers of every data centre.
    fn statuses(&self) -> impl Iterator<Item = PeerStatus<'_>>;
    /// Returns whether this instance is a watcher of its data centre.
    fn is_watcher(&self) -> bool;
}
