//! Searches that this instance hands over.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use base::{CallId, InstanceName};
use compio::{
    net::TcpStream,
    runtime::{JoinHandle, fd::PollFd, spawn},
    time::timeout,
};
use futures_channel::mpsc::{self, UnboundedReceiver, UnboundedSender};
use http::StatusCode;
use pipe::{Keepalive, connection::set_tcp_timeouts};
use platform::{CallerRequest, UpstreamReply};
use slog::{debug, warn};
use socket2::Socket;
use tier::{Event, HandOverOutcome, Instance, OverloadedShard, effect::HandOver};
use wire::handover::{self, Branch, Done, Follow, Frame, Payload};

use super::{channel::Channel, from_frame, to_frame};
use crate::edge::shell::Shell;

/// Longest time to open a connection; the way takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Connections to other instances.
#[derive(Default)]
pub(in crate::edge) struct Peers(RefCell<HashMap<InstanceName, Rc<Peer>>>);

/// What waits to be sent to an instance.
enum Item {
    Hand(HandOver<Rc<CallerRequest>>),
    Said(Payload),
}

/// An instance that searches are handed to.
struct Peer {
    address: SocketAddr,
    channel: Channel<Item>,
    /// Searches without an end, and whether they were sent.
    waiting: RefCell<HashMap<CallId, bool>>,
    /// Where news of the instance go while it is followed.
    news: RefCell<Option<UnboundedSender<Payload>>>,
    task: RefCell<Option<JoinHandle<()>>>,
}

impl Peers {
    /// Asks an instance for news, which end with its connection.
    pub(in crate::edge) fn follow(
        &self,
        shell: &Rc<Shell>,
        instance: &Instance,
        ask: Follow,
    ) -> UnboundedReceiver<Payload> {
        let peer = self.open(shell, &instance.name, instance.address);
        let (tx, rx) = mpsc::unbounded();
        *peer.news.borrow_mut() = Some(tx);
        peer.channel.push(Item::Said(Payload::Follow(ask)));
        rx
    }

    /// Hands a search to another instance.
    pub(in crate::edge) fn hand_over(&self, shell: &Rc<Shell>, order: HandOver<Rc<CallerRequest>>) {
        let peer = self.open(shell, &order.to, order.address);
        peer.waiting.borrow_mut().insert(order.call, false);
        peer.channel.push(Item::Hand(order));
    }

    /// Says that the answer to a search is no longer wanted.
    pub(in crate::edge) fn withdraw(&self, call: CallId, from: &InstanceName) {
        let peer = self.0.borrow().get(from).cloned();
        let Some(peer) = peer else { return };
        match peer.waiting.borrow_mut().remove(&call) {
            Some(true) => peer.channel.push(Item::Said(Payload::Withdrawn(call.0))),
            Some(false) => peer
                .channel
                .retain(|item| !matches!(item, Item::Hand(order) if order.call == call)),
            None => {}
        }
    }

    /// Says that the answer to a search is still wanted.
    pub(in crate::edge) fn confirm(&self, call: CallId, to: &InstanceName) {
        if let Some(peer) = self.0.borrow().get(to) {
            peer.channel.push(Item::Said(Payload::Confirmed(call.0)));
        }
    }

    /// Asks an instance for a sign of life.
    pub(in crate::edge) fn ping(&self, name: &InstanceName) {
        if let Some(peer) = self.0.borrow().get(name) {
            peer.channel.push(Item::Said(Payload::Ping(true)));
        }
    }

    /// Closes the connection to an instance and ends what was handed to it.
    pub(in crate::edge) fn disconnect(&self, shell: &Rc<Shell>, name: &InstanceName) {
        let peer = self.0.borrow_mut().remove(name);
        if let Some(peer) = peer {
            drop(peer.task.take());
            peer.end(shell);
        }
    }

    /// Returns the connection to an instance; a new one is opened in the background.
    fn open(&self, shell: &Rc<Shell>, name: &InstanceName, address: SocketAddr) -> Rc<Peer> {
        let known = self.0.borrow().get(name).cloned();
        if let Some(known) = known {
            if known.address == address {
                return known;
            }
            self.disconnect(shell, name);
        }
        let peer = Rc::new(Peer {
            address,
            channel: Channel::default(),
            waiting: RefCell::default(),
            news: RefCell::default(),
            task: RefCell::default(),
        });
        self.0.borrow_mut().insert(name.clone(), Rc::clone(&peer));
        let task = spawn(run(Rc::clone(shell), name.clone(), Rc::clone(&peer)));
        *peer.task.borrow_mut() = Some(task);
        peer
    }
}

impl Peer {
    /// Ends what was handed over; what was not sent has not run.
    fn end(&self, shell: &Rc<Shell>) {
        drop(self.news.take());
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        for (call, was_sent) in waiting {
            let end = if was_sent {
                HandOverOutcome::Broken
            } else {
                HandOverOutcome::Declined
            };
            shell.metrics.handed_over(&end);
            shell.dispatch(Event::HandOverEnded(call, end));
        }
    }

    fn encode(&self, shell: &Shell, item: Item) -> Option<Frame> {
        let order = match item {
            Item::Said(said) => return Some(said.into()),
            Item::Hand(order) => order,
        };
        *self.waiting.borrow_mut().get_mut(&order.call)? = true;
        let (method, target, headers, body) = order.request.content();
        let left = order.deadline.since(shell.now());
        let hop = shell.hop_delay();
        let branch = order.branch.as_ref().map(|branch| Branch {
            shards: branch.shards.to_vec(),
            min_parts: u32::try_from(branch.min_parts).unwrap_or(u32::MAX),
            is_confirmed: branch.is_confirmed,
            due_us: micros(branch.soft_deadline.since(shell.now()).saturating_sub(hop)),
        });
        let hand = handover::HandOver {
            call: order.call.0,
            left_us: micros(left),
            branch,
            version: order.version,
            was_refused: order.was_refused,
            may_have_run: order.may_have_run,
            method: method.to_string(),
            target: target.to_string(),
            headers: to_frame(headers),
            body: body.clone(),
        };
        Some(Payload::HandOver(hand).into())
    }

    /// Passes news on; an instance that nobody follows any more is told so.
    fn tell(&self, said: Payload) {
        let is_wanted = match &*self.news.borrow() {
            Some(news) => news.unbounded_send(said).is_ok(),
            None => return,
        };
        if !is_wanted {
            drop(self.news.take());
            self.channel.push(Item::Said(Payload::Unfollow(true)));
        }
    }

    fn receive(&self, shell: &Rc<Shell>, name: &InstanceName, said: Payload) {
        match said {
            Payload::Accepted(call) => {
                let is_waiting = self.waiting.borrow().contains_key(&CallId(call));
                if is_waiting && shell.is_confirmed(CallId(call)) {
                    self.channel.push(Item::Said(Payload::Confirmed(call)));
                }
                shell.dispatch(Event::InstanceAlive(name.clone()));
            }
            Payload::Pong(_) => shell.dispatch(Event::InstanceAlive(name.clone())),
            Payload::Done(done) => {
                let call = CallId(done.call);
                if self.waiting.borrow_mut().remove(&call).is_some() {
                    if let Some(short) = read_short(&done) {
                        shell.dispatch(Event::OverloadedShards(call, short));
                    }
                    let end = read_end(done);
                    shell.metrics.handed_over(&end);
                    shell.dispatch(Event::HandOverEnded(call, end));
                }
            }
            Payload::Update(_) | Payload::Watermark(_) | Payload::StoreLost(_) => self.tell(said),
            Payload::HandOver(_)
            | Payload::Withdrawn(_)
            | Payload::Confirmed(_)
            | Payload::Ping(_)
            | Payload::Follow(_)
            | Payload::Unfollow(_) => {
                warn!(shell.log, "an instance asks on a connection that it answers on";
                    "from" => %name);
            }
        }
    }
}

/// Reads which shards are short of room; `None` when nothing was run.
fn read_short(done: &Done) -> Option<Vec<OverloadedShard>> {
    let short = done.overloaded.iter().map(|short| OverloadedShard {
        shard: short.shard,
        share: f64::from(short.share).clamp(0.0, 1.0),
    });
    (done.status != 0).then(|| short.collect())
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Reads how a search ended at another instance.
fn read_end(done: Done) -> HandOverOutcome<UpstreamReply> {
    if done.status == 0 {
        return HandOverOutcome::Declined;
    }
    let status = u16::try_from(done.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    match (status, from_frame(done.headers)) {
        (Some(status), Some(headers)) => {
            HandOverOutcome::Answer(UpstreamReply::from_instance(status, headers, done.body))
        }
        _ => HandOverOutcome::Broken,
    }
}

/// Carries searches to an instance until its connection ends.
async fn run(shell: Rc<Shell>, name: InstanceName, peer: Rc<Peer>) {
    let ended = async {
        let socket = connect(peer.address).await?;
        let encode = |item| peer.encode(&shell, item);
        let receive = |frames: Vec<Payload>, _| {
            for said in frames {
                peer.receive(&shell, &name, said);
            }
        };
        peer.channel.run(socket, encode, receive).await
    };
    if let Err(e) = ended.await {
        debug!(shell.log, "connection to an instance broke"; "instance" => %name, "error" => %e);
    }
    let mut peers = shell.peers.0.borrow_mut();
    if peers
        .get(&name)
        .is_some_and(|present| Rc::ptr_eq(present, &peer))
    {
        peers.remove(&name);
    }
    drop(peers);
    if let Some(task) = peer.task.take() {
        task.detach();
    }
    peer.end(&shell);
}

async fn connect(address: SocketAddr) -> io::Result<PollFd<Socket>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let socket: PollFd<Socket> = stream.into_poll_fd()?;
    set_tcp_timeouts(&socket, Keepalive::Enabled)?;
    Ok(socket)
}
