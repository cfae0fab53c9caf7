//! Runs the binary.

use std::process::Command;

/// What a command printed and how it ended.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Run {
    #[track_caller]
    pub(crate) fn expect(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:#?}");
        self
    }

    #[track_caller]
    pub(crate) fn says(self, text: &str) -> Self {
        let said = self.out.contains(text) || self.err.contains(text);
        assert!(said, "{text:?} is not in {self:#?}");
        self
    }
}

/// Runs `briarcove` with these words.
pub(crate) fn briarcove(words: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_briarcove"));
    // A proxy of the environment must not be used towards the platform.
    let output = command
        .args(words)
        .env("http_proxy", "http://127.0.0.1:9")
        .output()
        .unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}
