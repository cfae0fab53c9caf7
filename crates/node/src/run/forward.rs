//! Forwarding of claim changes to the preferred instance of their bucket.

use base::{InstanceName, Time};
use wire::Body;

use crate::{
    claims::{Change, DecidedClaim, Decision, Source, forward},
    effect::Effect,
    node::Node,
    relay::decode_request_id,
};

impl Node {
    /// Forwards a change to the preferred instance of its bucket, or submits it at this instance;
    /// returns `false` if the queue of this instance has no space for it.
    pub(super) fn submit_change(&mut self, now: Time, change: Change) -> bool {
        let wait = self.claims.forward_wait();
        let bucket = self.claims.bucket_of(change.key());
        let preferred = self.members.preferred(&format!("claims/{bucket}"));
        let peer = preferred.filter(|peer| {
            **peer != self.identity.instance
                && !wait.is_zero()
                && !self.members.is_suspect(peer)
                && !self.is_peer_ejected(now, peer)
        });
        let Some(peer) = peer.cloned() else {
            return self.claims.submit(now, change);
        };
        let message = self.forwards.add(now, wait, bucket, peer.clone(), change);
        self.outbox.push_claim(peer, Body::Claim(message));
        true
    }

    /// Submits forwarded changes at this instance that were not answered in time.
    pub(crate) fn reclaim_overdue_changes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for change in self.forwards.take_overdue(now) {
            let request = change.request();
            if !self.claims.submit(now, change) {
                self.apply_decision(now, request, Decision::Refused, effects);
            }
        }
    }

    /// Handles a change that a peer forwarded to this instance.
    pub(crate) fn on_claim(
        &mut self,
        now: Time,
        from: &InstanceName,
        message: &wire::Claim,
        effects: &mut Vec<Effect>,
    ) {
        let Some(change) = forward::read_change(from, message) else {
            return self.bad_message(from, "claim cannot be decoded", effects);
        };
        let (request, key) = (change.request(), change.key().clone());
        let is_claim = matches!(change, Change::Claim(..));
        let accepted = self.claims.submit(now, change);
        let decision = match (is_claim, accepted) {
            // The decision is sent once it is made.
            (true, true) => return,
            (false, true) => Decision::Claimed,
            (_, false) => Decision::Refused,
        };
        let answer = forward::encode_answer(message.ticket, request, &key, &decision);
        self.outbox.push_claim(from.clone(), Body::Claimed(answer));
    }

    /// Sends a peer the decision on a claim that it forwarded.
    pub(super) fn send_decision(&mut self, decided: &DecidedClaim) {
        let Source::Peer { from, ticket } = &decided.source else {
            return;
        };
        let claim = &decided.claim;
        let answer = forward::encode_answer(*ticket, claim.request, &claim.key, &decided.decision);
        self.outbox.push_claim(from.clone(), Body::Claimed(answer));
    }

    /// Handles the answer of a peer to a forwarded change.
    pub(crate) fn on_claimed(
        &mut self,
        now: Time,
        from: &InstanceName,
        message: &wire::Claimed,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(request), Some(decision)) = (
            decode_request_id(&message.request),
            forward::read_decision(message),
        ) else {
            return self.bad_message(from, "answer to a claim cannot be decoded", effects);
        };
        match self.forwards.take_answered(from, message.ticket, request) {
            Some(Change::Claim(..)) => self.apply_decision(now, request, decision, effects),
            Some(_) => {}
            None => self.stats.discarded += 1,
        }
    }
}
