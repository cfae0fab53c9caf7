//! Why a call to the platform has no result.

use snafu::Snafu;

/// A call that has no result.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The object has another version than the write expected; nothing was written.
    #[snafu(display("the object has another version than expected"))]
    Conflict,
    /// No reply; a write may have taken effect or may yet.
    #[snafu(display("the outcome is unknown: {problem}"))]
    Unknown {
        /// What happened instead of a reply.
        problem: Box<str>,
    },
    /// The call was not taken; a write did not take effect.
    #[snafu(display("unavailable: {problem}"))]
    Unavailable {
        /// What happened instead of a reply.
        problem: Box<str>,
    },
    /// The value is larger than the platform takes; nothing was written.
    #[snafu(display("the object is larger than the platform takes"))]
    TooLarge,
    /// The name that was given, or the reply to a read, is not valid; nothing was written.
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
