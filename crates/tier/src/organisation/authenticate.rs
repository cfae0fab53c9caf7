//! Decides which organisation a request belongs to.
//!
//! Load pattern: keys are added and taken away while callers use them, also in quick succession and
//! while some instances do not reach the platform. A key that this instance does not know is wrong,
//! was taken away, or belongs to a newer configuration that has not arrived yet. The first two are
//! rejected for good; a caller with the third must come again.

use base::OrganisationName;

use super::{Credential, KeyDigest};
use crate::config::Config;

/// What a request is allowed, by the configuration that it runs with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Authentication {
    /// It belongs to this organisation, or to none if it needs none.
    Passed(Option<OrganisationName>),
    /// It is rejected for good.
    Rejected(CredentialFault),
    /// Its key may belong to a newer configuration.
    Unknown,
    /// Another instance that handed it over has not authenticated it by this configuration.
    Unverified,
}

/// Why a credential is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CredentialFault {
    /// There is none.
    Missing,
    /// It is not exactly one key.
    Malformed,
    /// No known configuration holds its key.
    Unknown,
    /// An older configuration held its key.
    Revoked,
}

impl CredentialFault {
    /// Returns the outcome of the request in logs and metrics.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::Missing => "unauthorised_missing",
            Self::Malformed => "unauthorised_malformed",
            Self::Unknown => "unauthorised_unknown",
            Self::Revoked => "unauthorised_revoked",
        }
    }
}

/// What an instance knows beyond the configuration that a request runs with.
pub struct Knowledge<F> {
    /// Whether the request was handed over by another instance.
    pub is_from_instance: bool,
    /// Whether there may be a newer configuration that this instance does not know.
    pub may_be_outdated: bool,
    /// Returns whether an older configuration held a key.
    pub was_held: F,
}

/// Authenticates a request on a route.
pub fn authenticate<F: FnOnce(KeyDigest) -> bool>(
    config: &Config,
    route: usize,
    credential: &Credential,
    known: Knowledge<F>,
) -> Authentication {
    let organisations = &config.organisations;
    if organisations.is_empty() {
        return Authentication::Passed(None);
    }
    let is_public = config.route(route).is_public;
    if known.is_from_instance {
        return match credential {
            Credential::Verified(name) if organisations.by_name(name).is_some() => {
                Authentication::Passed(Some(name.clone()))
            }
            Credential::Verified(_) => Authentication::Unverified,
            _ if is_public => Authentication::Passed(None),
            // A build that knows no organisations has handed it over.
            _ => Authentication::Unverified,
        };
    }
    let fault = match credential {
        Credential::Key(key) => match organisations.by_key(*key) {
            Some(organisation) => return Authentication::Passed(Some(organisation.name.clone())),
            None if is_public => return Authentication::Passed(None),
            None if (known.was_held)(*key) => CredentialFault::Revoked,
            None if known.may_be_outdated => return Authentication::Unknown,
            None => CredentialFault::Unknown,
        },
        _ if is_public => return Authentication::Passed(None),
        Credential::Absent => CredentialFault::Missing,
        // Only instances may vouch for callers.
        Credential::Malformed | Credential::Verified(_) => CredentialFault::Malformed,
    };
    Authentication::Rejected(fault)
}
