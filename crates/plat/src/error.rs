//! Errors of calls to the platform.

use snafu::Snafu;

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The object has another version than the write expected; nothing was written.
    #[snafu(display("the object has another version than expected"))]
    Conflict,
    /// There was no valid reply to a write, which may have taken effect or may still take effect.
    #[snafu(display("the outcome is unknown: {problem}"))]
    Unknown {
        /// What happened instead of a reply.
        problem: Box<str>,
    },
    /// The call failed; a write did not take effect.
    #[snafu(display("unavailable: {problem}"))]
    Unavailable {
        /// What happened instead of a reply.
        problem: Box<str>,
    },
    /// The object is larger than the platform accepts; nothing was written.
    #[snafu(display("the object is larger than the platform accepts"))]
    TooLarge,
    /// The name of the object or the reply to a read is not valid; nothing was written.
    #[snafu(display("not valid: {problem}"))]
    Malformed {
        /// What is wrong.
        problem: Box<str>,
    },
}

impl Error {
    pub(crate) fn unavailable(problem: impl ToString) -> Self {
        Self::Unavailable {
            problem: problem.to_string().into(),
        }
    }

    pub(crate) fn unknown(problem: impl ToString) -> Self {
        Self::Unknown {
            problem: problem.to_string().into(),
        }
    }

    pub(crate) fn malformed(problem: impl ToString) -> Self {
        Self::Malformed {
            problem: problem.to_string().into(),
        }
    }
}
