//! The event loop, which makes fewer system calls than `Runtime::block_on`.

use std::{
    future::Future,
    pin::pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use compio::runtime::Runtime;

use super::shell::Shell;

/// Maximum number of task rounds before sockets are polled again.
const MAX_ROUNDS: u32 = 16;

/// Runs a future to completion, and the reducer's timers meanwhile.
///
/// `Runtime::block_on` polls the sockets after each round of tasks, which takes five system calls.
/// Here tasks that wake each other run until none is ready or [`MAX_ROUNDS`] rounds have run, and
/// only then are the sockets polled.
/// The reducer's next timer limits how long that poll blocks, so it needs no task or timer of the
/// runtime.
pub(super) fn block_on<F: Future>(runtime: &Runtime, shell: &Rc<Shell>, future: F) -> F::Output {
    runtime.enter(|| {
        let waker = runtime.waker();
        let mut cx = Context::from_waker(&waker);
        let mut future = pin!(future);
        loop {
            if let Poll::Ready(output) = future.as_mut().poll(&mut cx) {
                runtime.run();
                return output;
            }
            let mut rounds = 0;
            while runtime.run() && rounds < MAX_ROUNDS {
                rounds += 1;
            }
            let wait = match rounds {
                MAX_ROUNDS => Some(Duration::ZERO),
                _ => min_wait(runtime.current_timeout(), shell.time_until_wake()),
            };
            runtime.poll_with(wait);
            shell.run_due_timers();
        }
    })
}

/// Returns the shorter of two waits; `None` is an unbounded wait.
fn min_wait(a: Option<Duration>, b: Option<Duration>) -> Option<Duration> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
