//! Changes of claims by way of the preferred instance of their bucket.

use base::{InstanceName, Time};
use wire::Body;

use crate::{
    claims::{Change, DecidedClaim, Decision, Source, forward},
    effect::Effect,
    node::Node,
    relay::decode_request_id,
};

impl Node {
    /// Leaves a change to the preferred instance of its bucket, or makes it here; returns whether
    /// it found room.
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

    /// Makes the changes here that were left to others and not answered in time.
    pub(crate) fn reclaim_overdue_changes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for change in self.forwards.take_overdue(now) {
            let request = change.request();
            if !self.claims.submit(now, change) {
                self.apply_verdict(now, request, Decision::Refused, effects);
            }
        }
    }

    /// Takes a change that a peer leaves to this instance.
    pub(crate) fn on_claim(
        &mut self,
        now: Time,
        from: &InstanceName,
        message: &wire::Claim,
        effects: &mut Vec<Effect>,
    ) {
        let Some(change) = forward::read_change(from, message) else {
            return self.bad_message(from, "a claim that cannot be read", effects);
        };
        let (request, key) = (change.request(), change.key().clone());
        let is_claim = matches!(change, Change::Claim(..));
        let taken = self.claims.submit(now, change);
        let verdict = match (is_claim, taken) {
            // The verdict follows.
            (true, true) => return,
            (false, true) => Decision::Claimed,
            (_, false) => Decision::Refused,
        };
        let answer = forward::encode_answer(message.ticket, request, &key, &verdict);
        self.outbox.push_claim(from.clone(), Body::Claimed(answer));
    }

    /// Tells a peer the verdict on its claim.
    pub(super) fn send_verdict(&mut self, ruling: &DecidedClaim) {
        let Source::Peer { from, ticket } = &ruling.source else {
            return;
        };
        let claim = &ruling.claim;
        let answer = forward::encode_answer(*ticket, claim.request, &claim.key, &ruling.decision);
        self.outbox.push_claim(from.clone(), Body::Claimed(answer));
    }

    /// Takes a peer's answer to a change that was left to it.
    pub(crate) fn on_claimed(
        &mut self,
        now: Time,
        from: &InstanceName,
        message: &wire::Claimed,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(request), Some(verdict)) = (
            decode_request_id(&message.request),
            forward::read_decision(message),
        ) else {
            return self.bad_message(from, "an answer to a claim that cannot be read", effects);
        };
        match self.forwards.take_answered(from, message.ticket, request) {
            Some(Change::Claim(..)) => self.apply_verdict(now, request, verdict, effects),
            Some(_) => {}
            None => self.stats.discarded += 1,
        }
    }
}
