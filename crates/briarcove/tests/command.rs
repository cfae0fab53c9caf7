//! Helper to run the program.

use std::process::Command;

/// Output and exit code of a command.
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
    pub(crate) fn prints(self, text: &str) -> Self {
        let is_printed = self.out.contains(text) || self.err.contains(text);
        assert!(is_printed, "{text:?} is not in {self:#?}");
        self
    }
}

/// Runs `briarcove` with these arguments.
pub(crate) fn briarcove(words: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_briarcove"));
    // The program must not use a proxy from the environment to reach the platform.
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
