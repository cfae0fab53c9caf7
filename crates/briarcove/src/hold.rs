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

/// Waits that never end; the library restores a signal's default action once nobody waits for it.
pub(crate) struct Held(#[expect(dead_code, reason = "dropping it ends the waits")] Vec<Waiting>);

/// Takes hold of signals as long as the result lives.
pub(crate) fn hold(log: &Logger, signals: &[i32]) -> Held {
    let mut held = Vec::new();
    for number in signals {
        let mut waiting: Waiting = Box::pin(signal(*number));
        let mut cx = Context::from_waker(Waker::noop());
        if let Poll::Ready(Err(e)) = waiting.as_mut().poll(&mut cx) {
            error!(log, "a signal can't be held"; "signal" => number, "error" => %e);
        }
        held.push(waiting);
    }
    Held(held)
}
