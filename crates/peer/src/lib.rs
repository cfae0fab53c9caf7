//! Transport for messages between instances.
//!
//! [`Links`] keeps one outgoing connection per address, opened on demand, and accepts incoming
//! ones. Delivery is at most once: a frame whose write failed is dropped, and the timeouts of the
//! reducer handle the loss.

mod counters;
mod incoming;
mod outgoing;
mod queue;
mod settings;

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use base::{Incarnation, InstanceName};
use compio::{
    net::TcpListener,
    runtime::{JoinHandle, spawn},
    time::{sleep, timeout},
};
use futures_channel::mpsc::UnboundedSender;
use node::{Event, effect::PeerAddress};
use slog::Logger;
use wire::Body;

pub use counters::Counters;
use outgoing::{Outbox, Sender};
pub use settings::Settings;

/// Interval at which [`Links::flush`] checks the queues.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State shared by the tasks of all connections.
#[derive(Debug)]
struct Shared {
    name: InstanceName,
    incarnation: Incarnation,
    events: UnboundedSender<Event>,
    settings: Settings,
    log: Logger,
    count: counters::SharedCounters,
}

/// An outbox and the task that sends its messages; dropping it closes the connection.
#[derive(Debug)]
struct Outgoing {
    outbox: Rc<Outbox>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Inner {
    shared: Rc<Shared>,
    outgoing: RefCell<HashMap<SocketAddr, Outgoing>>,
}

/// Connections to and from the other instances.
///
/// Clones share the connections; dropping the last clone closes the outgoing ones.
#[derive(Clone, Debug)]
pub struct Links(Rc<Inner>);

impl Links {
    /// Creates the links of an instance; received messages are sent to `events`.
    pub fn new(
        name: InstanceName,
        incarnation: Incarnation,
        events: UnboundedSender<Event>,
        settings: Settings,
        log: Logger,
    ) -> Self {
        let shared = Rc::new(Shared {
            name,
            incarnation,
            events,
            settings,
            log,
            count: counters::SharedCounters::default(),
        });
        let outgoing = RefCell::default();
        Self(Rc::new(Inner { shared, outgoing }))
    }

    /// Accepts connections from peers until the future is dropped.
    pub async fn listen(&self, listener: TcpListener) {
        incoming::accept(self.0.shared.clone(), listener).await;
    }

    /// Queues a message for a peer; must be called within the runtime.
    pub fn send(&self, to: PeerAddress, body: Body) {
        let shared = &self.0.shared;
        let mut outgoing = self.0.outgoing.borrow_mut();
        if let Some(link) = outgoing.get(&to.address).filter(|l| !l.task.is_finished()) {
            return link.outbox.push(body, shared);
        }
        outgoing.retain(|_, link| !link.task.is_finished());
        let outbox = Rc::new(Outbox::default());
        outbox.push(body, shared);
        let sender = Sender::new(shared.clone(), outbox.clone(), to.address);
        let task = spawn(sender.run());
        outgoing.insert(to.address, Outgoing { outbox, task });
    }

    /// Waits until every queued message was written or dropped, for at most `max_wait`.
    pub async fn flush(&self, max_wait: Duration) {
        let flushed = async {
            while !self.is_flushed() {
                sleep(FLUSH_POLL_INTERVAL).await;
            }
        };
        // Messages that are still queued after `max_wait` are lost when the process exits.
        let _ = timeout(max_wait, flushed).await;
    }

    /// Returns the traffic counters.
    pub fn counters(&self) -> Counters {
        self.0.shared.count.get()
    }

    fn is_flushed(&self) -> bool {
        let outgoing = self.0.outgoing.borrow();
        outgoing.values().all(|l| l.outbox.is_flushed())
    }
}
