//! Exit codes of the command line.

use std::process::ExitCode;

/// Result of a command; the number is the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded, or there was nothing to do.
    Ok = 0,
    /// A document has findings of severity *error*, or an audit record is missing; nothing was
    /// changed.
    Findings = 1,
    /// The command line is invalid, or a file that it names cannot be read.
    Usage = 2,
    /// Another change was accepted first; nothing was changed.
    Conflict = 3,
    /// The platform or an instance is unreachable; nothing was changed.
    Unreachable = 4,
    /// The reply to a write was lost and the platform is unreachable; the change may be in force.
    Unknown = 5,
}

impl Exit {
    /// All exit codes with their meaning, for `--help`.
    pub const ALL: [(Self, &'static str); 6] = [
        (Self::Ok, "done, or nothing to do"),
        (Self::Findings, "findings; nothing was changed"),
        (Self::Usage, "wrong command line or unreadable file"),
        (
            Self::Conflict,
            "another change came first; nothing was changed",
        ),
        (
            Self::Unreachable,
            "platform or instance unreachable; nothing was changed",
        ),
        (
            Self::Unknown,
            "outcome unknown; run the command again to learn it",
        ),
    ];

    /// Returns the exit code as a number.
    pub fn code(self) -> u8 {
        self as u8
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
