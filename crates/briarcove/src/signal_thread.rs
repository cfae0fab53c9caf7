//! A thread that receives signals in place of handlers.
//!
//! A handler may run on a thread that is being spawned, where it aborts the process: it looks up the
//! current thread before the runtime has set it.

use std::{io, thread};

use futures_channel::mpsc::{self, UnboundedReceiver};
use nix::{
    errno::Errno,
    sys::signal::{SigSet, Signal},
};

/// Blocks signals on this thread and all that it spawns, and receives them on a thread of their own.
///
/// To be called before any other thread is spawned.
///
/// # Errors
///
/// Fails when the signals cannot be blocked or the thread cannot be spawned.
pub(crate) fn receive(signals: &[Signal]) -> io::Result<UnboundedReceiver<Signal>> {
    let mut set = SigSet::empty();
    signals.iter().for_each(|signal| set.add(*signal));
    set.thread_block()?;
    let (tx, rx) = mpsc::unbounded();
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            loop {
                match set.wait() {
                    Ok(signal) if tx.unbounded_send(signal).is_ok() => {}
                    Err(Errno::EINTR) => {}
                    Ok(_) | Err(_) => return,
                }
            }
        })?;
    Ok(rx)
}
