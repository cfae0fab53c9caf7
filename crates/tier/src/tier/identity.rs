//! Identity: binds requests to the organisations of their callers.

use base::{CallId, OrganisationName, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Tier, calls::decline};
use crate::{
    call::Call,
    config::Config,
    effect::{Answer, DeclineReason, Effect, Refusal},
    event::{Head, Origin, Protocol},
    organisation::{
        Credential,
        authenticate::{Authentication, CredentialFault, Knowledge, authenticate},
    },
};

impl<C: Protocol> Tier<C> {
    /// Returns the organisation of a request, if it belongs to one; `Err` once the request has been
    /// answered, as it has no valid credential.
    pub(super) fn identify(
        &mut self,
        now: Time,
        id: CallId,
        config: &Config,
        route: usize,
        head: &mut Head,
        effects: &mut Vec<Effect<C>>,
    ) -> Result<Option<OrganisationName>, ()> {
        let is_from_instance = head.origin != Origin::Caller;
        let credential = &head.credential;
        let found = self.authenticate(now, config, route, credential, is_from_instance);
        let organisation = match found {
            Authentication::Passed(organisation) => organisation,
            Authentication::Rejected(fault) => {
                self.reject(id, head, fault, effects);
                return Err(());
            }
            Authentication::Unknown => {
                self.refuse_unrouted(id, head, Refusal::UnknownKey, effects);
                return Err(());
            }
            Authentication::Unverified => {
                decline(id, DeclineReason::Unverified, effects);
                return Err(());
            }
        };
        if let Some(name) = &organisation {
            // The sender of a branch decides about the whole search.
            if head.branch.is_none() && self.is_revoked(config, route, name, &head.credential) {
                self.reject(id, head, CredentialFault::Revoked, effects);
                return Err(());
            }
            // Equal requests of two organisations may differ for an upstream.
            head.digest = xxh3_64_with_seed(name.as_str().as_bytes(), head.digest);
        }
        Ok(organisation)
    }

    /// Returns whether a caller's request is answered without its body, as it has no valid
    /// credential.
    pub fn rejects(&self, now: Time, host: &str, path: &str, credential: &Credential) -> bool {
        let Some(config) = self.config.as_deref() else {
            return false;
        };
        let Some(route) = config.find(host, path) else {
            return false;
        };
        !matches!(
            self.authenticate(now, config, route, credential, false),
            Authentication::Passed(_)
        )
    }

    fn authenticate(
        &self,
        now: Time,
        config: &Config,
        route: usize,
        credential: &Credential,
        is_from_instance: bool,
    ) -> Authentication {
        let known = Knowledge {
            is_from_instance,
            may_be_outdated: self.config_doubt.may_be_outdated(now),
            was_held: |key| {
                let mut replaced = self.old_configs.iter();
                replaced.any(|old| old.organisations.by_key(key).is_some())
            },
        };
        authenticate(config, route, credential, known)
    }

    /// Answers a request whose caller shows no valid key.
    fn reject(
        &self,
        id: CallId,
        head: &Head,
        fault: CredentialFault,
        effects: &mut Vec<Effect<C>>,
    ) {
        self.note_unrouted(head, fault.outcome(), effects);
        effects.push(Effect::Answer(id, Answer::Unauthorised));
    }

    /// Returns whether the key of a pending call has been taken away since it arrived.
    pub(super) fn has_lost_key(&self, call: &Call<C>) -> bool {
        call.organisation.as_ref().is_some_and(|name| {
            self.is_revoked(&call.config, call.route, name, &call.head.credential)
        })
    }

    /// Returns whether a newer configuration than `config` has taken away a credential that was
    /// valid by that one.
    fn is_revoked(
        &self,
        config: &Config,
        route: usize,
        name: &OrganisationName,
        credential: &Credential,
    ) -> bool {
        let newest = self.config.as_deref();
        let Some(newest) = newest.filter(|newest| newest.version > config.version) else {
            return false;
        };
        if newest.organisations.is_empty() || config.route(route).is_public {
            return false;
        }
        let holder = match credential {
            Credential::Key(key) => newest.organisations.by_key(*key),
            Credential::Verified(name) => newest.organisations.by_name(name),
            Credential::Absent | Credential::Malformed => return false,
        };
        holder.is_none_or(|holder| holder.name != *name)
    }
}
