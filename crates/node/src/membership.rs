//! Peers: their messages, and what changes when members come and go.

use base::{InstanceName, Time};
use wire::Body;

use crate::{
    attempt::AttemptKey,
    directory::UpstreamId,
    effect::{Effect, Note},
    node::Node,
};

impl Node {
    /// Sends a message to a peer whose address is known.
    pub(crate) fn tell(&mut self, peer: &InstanceName, body: Body, effects: &mut Vec<Effect>) {
        let _ = (peer, body, effects);
    }

    /// Returns the instance that brings work closer to an upstream.
    pub(crate) fn next_hop(&self, upstream: UpstreamId) -> Option<InstanceName> {
        self.owners.owner(upstream).cloned()
    }

    /// Returns whether the view of the peers is recent enough to send to upstreams.
    pub(crate) fn is_view_fresh(&self, now: Time) -> bool {
        let _ = now;
        true
    }

    /// Tells a new owner that an upstream is free, once nothing is in flight to it.
    pub(crate) fn release_upstream(&mut self, id: UpstreamId, effects: &mut Vec<Effect>) {
        if self.upstreams.get(id).is_some_and(|u| u.in_use > 0) {
            return;
        }
        if let Some(to) = self.owners.release(id) {
            let upstreams = vec![self.directory.names().name(id).to_string()];
            self.tell(&to, Body::Released(wire::Released { upstreams }), effects);
        }
    }

    /// Reports a message that is not valid; the sender's other messages are still taken.
    pub(crate) fn bad_message(
        &mut self,
        from: &InstanceName,
        problem: &str,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Note(Note::BadMessage(
            format!("{from}: {problem}").into(),
        )));
    }

    /// Notes that a peer has been silent while it had work of this instance.
    pub(crate) fn note_silence(&mut self, now: Time, key: AttemptKey) {
        let _ = (now, key);
    }
}
