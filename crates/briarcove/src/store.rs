//! Access to the catalogue's objects on the platform.

use std::time::Duration;

use base::{Revision, Version};
use bytes::Bytes;
use cat::{Catalogue, Change, Findings, Head};
use compio::time::sleep;
use node::{Kind, Object};
use plat::{Client, Error, Settings};
use snafu::{ResultExt, Snafu};

use crate::{args::Address, exit::Exit};

/// Name of the only object of [`Kind::Catalogue`].
const HEAD: &str = "head";
/// Maximum number of attempts to determine the outcome of a write whose reply was lost.
const MAX_ATTEMPTS: u32 = 5;
/// Delay between two such attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Why an operation on the platform's objects failed; the head is unchanged.
#[derive(Debug, Snafu)]
pub(crate) enum Failure {
    /// A call failed.
    #[snafu(display("{kind}/{name}: {source}"))]
    Call {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Box<str>,
        /// Error of the client.
        source: Error,
    },
    /// An object is not valid.
    #[snafu(display("{kind}/{name} is not valid: {problem}"))]
    Invalid {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Box<str>,
        /// What is wrong with it.
        problem: Box<str>,
    },
    /// The client cannot be created.
    #[snafu(display("{source}"))]
    Setup {
        /// Error of the client.
        source: Error,
    },
}

impl Failure {
    /// Returns the exit code of a command that failed before it changed the head.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Call {
                source: Error::Conflict | Error::TooLarge | Error::Malformed { .. },
                ..
            }
            | Self::Invalid { .. } => Exit::Findings,
            Self::Call { .. } | Self::Setup { .. } => Exit::Unreachable,
        }
    }

    /// Prints the failure and returns the exit code of the command.
    pub(crate) fn report(&self) -> Exit {
        eprintln!("briarcove: {self}");
        self.exit()
    }
}

/// A head, and its version for a conditional update.
#[derive(Clone, Debug)]
pub(crate) struct Current {
    pub(crate) head: Head,
    pub(crate) version: Version,
}

/// Outcome of an update of the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Acceptance {
    /// The change is accepted.
    Accepted,
    /// Another change was accepted first; this one is not and will not be.
    Superseded,
    /// The change may be in force, or may still come into force.
    Unknown,
}

/// Reads and writes the catalogue's objects.
#[derive(Debug)]
pub(crate) struct Store {
    client: Client,
}

impl Store {
    pub(crate) fn new(platform: Address) -> Result<Self, Failure> {
        let client = Client::new(Settings::new(platform.0)).context(SetupSnafu)?;
        Ok(Self { client })
    }

    /// Reads the head; `None` before the first accepted change.
    pub(crate) async fn head(&self) -> Result<Option<Current>, Failure> {
        let Some(object) = self.read(Kind::Catalogue, HEAD).await? else {
            return Ok(None);
        };
        let head = Head::from_json(&object.value).map_err(|e| invalid(&object, e))?;
        Ok(Some(Current {
            head,
            version: object.version,
        }))
    }

    /// Reads the document with this digest.
    pub(crate) async fn document(&self, digest: &str) -> Result<Option<Catalogue>, Failure> {
        let Some(object) = self.read(Kind::Document, digest).await? else {
            return Ok(None);
        };
        let parsed = Catalogue::from_json(&object.value);
        let catalogue = parsed.map_err(|findings: Findings| invalid(&object, findings))?;
        Ok(Some(catalogue))
    }

    /// Reads the change of a revision from the audit trail.
    pub(crate) async fn trail(&self, revision: Revision) -> Result<Option<Change>, Failure> {
        let Some(object) = self.read(Kind::Trail, &revision.to_string()).await? else {
            return Ok(None);
        };
        let change = Change::from_json(&object.value).map_err(|e| invalid(&object, e))?;
        Ok(Some(change))
    }

    /// Stores a document under its digest; an existing one must have the same content.
    pub(crate) async fn store_document(&self, catalogue: &Catalogue) -> Result<(), Failure> {
        let (digest, value) = (catalogue.digest(), Bytes::from(catalogue.to_json()));
        if self.create(Kind::Document, &digest, value.clone()).await? {
            return Ok(());
        }
        match self.read(Kind::Document, &digest).await? {
            Some(object) if object.value != value => {
                Err(invalid(&object, "its content has another digest"))
            }
            _ => Ok(()),
        }
    }

    /// Stores the change of a head in the audit trail, unless another writer already has.
    ///
    /// The head determines the content, so all writers store the same record.
    pub(crate) async fn store_trail(&self, head: &Head) -> Result<(), Failure> {
        let value = encode(&head.change);
        let name = head.revision.to_string();
        self.create(Kind::Trail, &name, value).await.map(|_| ())
    }

    /// Creates an immutable object; returns false when it already exists.
    ///
    /// A write whose reply was lost is repeated, and either creates the object or finds it.
    async fn create(&self, kind: Kind, name: &str, value: Bytes) -> Result<bool, Failure> {
        let mut attempt = 1;
        loop {
            match self.client.write(kind, name, None, value.clone()).await {
                Ok(_) => return Ok(true),
                Err(Error::Conflict) => return Ok(false),
                Err(Error::Unknown { .. }) if attempt < MAX_ATTEMPTS => {
                    attempt += 1;
                    sleep(RETRY_DELAY).await;
                }
                Err(source) => return Err(source).context(CallSnafu { kind, name }),
            }
        }
    }

    /// Puts `next` in force if the head is still `current`. Only this call accepts a change.
    pub(crate) async fn accept(
        &self,
        current: Option<&Current>,
        next: &Head,
    ) -> Result<Acceptance, Failure> {
        match self.write_head(current, next).await {
            Ok(_) => Ok(Acceptance::Accepted),
            Err(Error::Conflict) => Ok(Acceptance::Superseded),
            Err(Error::Unknown { .. }) => Ok(self.resolve(current, next).await),
            Err(source) => Err(source).context(CallSnafu {
                kind: Kind::Catalogue,
                name: HEAD,
            }),
        }
    }

    async fn write_head(&self, current: Option<&Current>, next: &Head) -> Result<Version, Error> {
        let expect = current.map(|c| c.version);
        self.client
            .write(Kind::Catalogue, HEAD, expect, encode(next))
            .await
    }

    /// Determines the outcome of an update of the head whose reply was lost.
    ///
    /// While the head is unchanged, the update may still arrive, so it is sent again. Both updates
    /// require the same version, so at most one of them takes effect.
    async fn resolve(&self, current: Option<&Current>, next: &Head) -> Acceptance {
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                sleep(RETRY_DELAY).await;
            }
            let Ok(observed) = self.head().await else {
                continue;
            };
            if observed.as_ref().map(|c| c.version) != current.map(|c| c.version) {
                match self.acceptance_in(observed.as_ref(), next).await {
                    Acceptance::Unknown => continue,
                    known => return known,
                }
            }
            if self.write_head(current, next).await.is_ok() {
                return Acceptance::Accepted;
            }
        }
        Acceptance::Unknown
    }

    /// Determines from a later head, or from the audit trail before it, whether `next` was
    /// accepted.
    async fn acceptance_in(&self, observed: Option<&Current>, next: &Head) -> Acceptance {
        let Some(observed) = observed else {
            return Acceptance::Unknown;
        };
        if observed.head.revision == next.revision {
            return accepted_if(observed.head.document == next.document);
        }
        match self.trail(next.revision).await {
            Ok(Some(change)) => accepted_if(change == next.change),
            _ => Acceptance::Unknown,
        }
    }

    async fn read(&self, kind: Kind, name: &str) -> Result<Option<Object>, Failure> {
        self.client
            .read(kind, name)
            .await
            .context(CallSnafu { kind, name })
    }
}

fn accepted_if(is_own: bool) -> Acceptance {
    match is_own {
        true => Acceptance::Accepted,
        false => Acceptance::Superseded,
    }
}

fn invalid(object: &Object, problem: impl ToString) -> Failure {
    Failure::Invalid {
        kind: object.kind,
        name: object.name.clone(),
        problem: problem.to_string().into(),
    }
}

/// Encodes an object as JSON, which cannot fail as all map keys of these types are strings.
fn encode(value: &impl serde::Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}
