//! Signals that must not end the process between two waits for them.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, Waker},
};

use compio::signal::unix::signal;
use slog::{Logger, error};

type Waiting = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Signals that are held.
pub(crate) struct Held {
    /// Waits that are kept; the library restores a signal's default action once nobody waits for it.
    _kept: Vec<Waiting>,
    /// Waits that end with the first signal since they were held.
    first: Vec<(i32, Waiting)>,
}

impl Held {
    /// Waits for a signal; one that has come since it was held counts, the first time that it is
    /// waited for.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be waited for.
    pub(crate) fn wait(&mut self, number: i32) -> impl Future<Output = io::Result<()>> + use<> {
        let at = self.first.iter().position(|(held, _)| *held == number);
        match at {
            Some(at) => self.first.swap_remove(at).1,
            None => Box::pin(signal(number)),
        }
    }
}

/// Takes hold of signals as long as the result lives.
pub(crate) fn hold(log: &Logger, signals: &[i32]) -> Held {
    Held {
        _kept: signals.iter().map(|it| begin_wait(log, *it)).collect(),
        first: signals
            .iter()
            .map(|it| (*it, begin_wait(log, *it)))
            .collect(),
    }
}

fn begin_wait(log: &Logger, number: i32) -> Waiting {
    let mut waiting: Waiting = Box::pin(signal(number));
    let mut cx = Context::from_waker(Waker::noop());
    if let Poll::Ready(Err(e)) = waiting.as_mut().poll(&mut cx) {
        error!(log, "a signal can't be held"; "signal" => number, "error" => %e);
    }
    waiting
}
