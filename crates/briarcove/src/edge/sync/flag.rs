//! A boolean condition that tasks can wait for.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Poll, Waker},
};

/// A boolean condition with waiters.
#[derive(Default)]
pub(super) struct Flag {
    is_set: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl Flag {
    pub(super) fn get(&self) -> bool {
        self.is_set.get()
    }

    /// Sets the condition and returns its previous value.
    pub(super) fn set(&self, is_set: bool) -> bool {
        let was = self.is_set.replace(is_set);
        if was != is_set {
            self.wakers.take().into_iter().for_each(Waker::wake);
        }
        was
    }

    /// Waits until the condition has the wanted value.
    pub(super) async fn until(&self, wanted: bool) {
        poll_fn(|cx| {
            if self.is_set.get() == wanted {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
