//! Signal handlers that stay installed, so that a signal never ends the process by its default
//! action.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, Waker},
};

use compio::signal::unix::signal;
use slog::{Logger, error};

type Waiting = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Handlers of a set of signals, installed until this is dropped.
pub(crate) struct SignalHandlers {
    /// Waits that are never awaited: compio restores the default action of a signal as soon as
    /// nothing waits for it.
    _kept: Vec<Waiting>,
    /// Waits that complete with the first signal received since the handlers were installed.
    first: Vec<(i32, Waiting)>,
}

impl SignalHandlers {
    /// Waits for a signal.
    ///
    /// The first wait for each signal also completes if the signal was received at any time since
    /// the handlers were installed.
    ///
    /// # Errors
    ///
    /// Fails when the handler cannot be registered.
    pub(crate) fn wait(&mut self, number: i32) -> impl Future<Output = io::Result<()>> + use<> {
        let at = self
            .first
            .iter()
            .position(|(registered, _)| *registered == number);
        match at {
            Some(at) => self.first.swap_remove(at).1,
            None => Box::pin(signal(number)),
        }
    }
}

/// Installs handlers for these signals until the result is dropped.
pub(crate) fn install(log: &Logger, signals: &[i32]) -> SignalHandlers {
    SignalHandlers {
        _kept: signals.iter().map(|it| begin_wait(log, *it)).collect(),
        first: signals
            .iter()
            .map(|it| (*it, begin_wait(log, *it)))
            .collect(),
    }
}

/// Starts a wait: polling it once registers the handler.
fn begin_wait(log: &Logger, number: i32) -> Waiting {
    let mut waiting: Waiting = Box::pin(signal(number));
    let mut cx = Context::from_waker(Waker::noop());
    if let Poll::Ready(Err(e)) = waiting.as_mut().poll(&mut cx) {
        error!(log, "failed to install a signal handler"; "signal" => number, "error" => %e);
    }
    waiting
}
