//! A FIFO semaphore with a bounded queue.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use futures_channel::oneshot;

/// Concurrency limiter of one upstream.
pub(super) struct Slots {
    limit: Cell<usize>,
    busy: Cell<usize>,
    max_busy: Cell<usize>,
    waiting: RefCell<VecDeque<oneshot::Sender<Slot>>>,
}

/// A slot in use; dropping it passes it to the request that has waited longest.
pub(super) struct Slot(Rc<Slots>);

impl Slots {
    /// Creates `limit` free slots.
    pub(super) fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit: Cell::new(limit),
            busy: Cell::new(0),
            max_busy: Cell::new(0),
            waiting: RefCell::default(),
        })
    }

    /// Changes the number of slots. Slots in use above the new limit are not revoked.
    pub(super) fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns the maximum number of slots that were in use at once.
    pub(super) fn max_busy(&self) -> usize {
        self.max_busy.get()
    }

    /// Takes a free slot, if there is one.
    pub(super) fn try_acquire(self: &Rc<Self>) -> Option<Slot> {
        if self.busy.get() >= self.limit.get() {
            return None;
        }
        self.busy.set(self.busy.get() + 1);
        self.max_busy.set(self.max_busy.get().max(self.busy.get()));
        Some(Slot(Rc::clone(self)))
    }

    /// Joins the queue, unless `bound` requests are already waiting.
    pub(super) fn enqueue(&self, bound: usize) -> Option<oneshot::Receiver<Slot>> {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= bound {
            waiting.retain(|w| !w.is_canceled());
        }
        if waiting.len() >= bound {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        waiting.push_back(tx);
        Some(rx)
    }

    fn next_waiting(&self) -> Option<oneshot::Sender<Slot>> {
        if self.busy.get() > self.limit.get() {
            return None;
        }
        let mut waiting = self.waiting.borrow_mut();
        loop {
            let next = waiting.pop_front()?;
            if !next.is_canceled() {
                return Some(next);
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        match self.0.next_waiting() {
            // If the receiver is dropped, so is the slot, which passes it to the next request.
            Some(next) => drop(next.send(Slot(Rc::clone(&self.0)))),
            None => self.0.busy.set(self.0.busy.get() - 1),
        }
    }
}
