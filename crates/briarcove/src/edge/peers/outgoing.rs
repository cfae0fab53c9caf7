//! Connections to other instances, to which this one hands over searches.

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
use platform::{CallerRequest, Identity, UpstreamReply};
use slog::{debug, warn};
use socket2::Socket;
use tier::{
    Event, HandOverOutcome, Instance, LimitedShard, crash::Crash, effect::HandOver,
    limit::RequestRate, notice::Notice,
};
use wire::handover::{self, Branch, CrashReport, Done, Follow, Frame, Payload};

use super::{channel::Channel, from_frame, to_frame, tokens};
use crate::edge::shell::Shell;

/// Time limit for opening a connection; the network delay is a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Connections to other instances.
#[derive(Default)]
pub(in crate::edge) struct Peers(RefCell<HashMap<InstanceName, Rc<Peer>>>);

/// An item in the send queue of a connection.
enum Item {
    Search(HandOver<Rc<CallerRequest>>),
    Crash(Crash),
    Payload(Payload),
}

/// A connection to an instance to which searches are handed over.
struct Peer {
    address: SocketAddr,
    channel: Channel<Item>,
    /// Pending searches, and whether their frame was written.
    pending: RefCell<HashMap<CallId, bool>>,
    /// Receiver of the instance's updates while it is followed.
    updates: RefCell<Option<UnboundedSender<Payload>>>,
    task: RefCell<Option<JoinHandle<()>>>,
}

impl Peers {
    /// Follows an instance: returns its updates, which end when the connection does.
    pub(in crate::edge) fn follow(
        &self,
        shell: &Rc<Shell>,
        instance: &Instance,
        revisions: Follow,
    ) -> UnboundedReceiver<Payload> {
        let peer = self.get_or_connect(shell, &instance.name, instance.address);
        let (tx, rx) = mpsc::unbounded();
        *peer.updates.borrow_mut() = Some(tx);
        peer.channel.push(Item::Payload(Payload::Follow(revisions)));
        rx
    }

    /// Hands over a search to another instance.
    pub(in crate::edge) fn hand_over(
        &self,
        shell: &Rc<Shell>,
        search: HandOver<Rc<CallerRequest>>,
    ) {
        if search.request.content().2.len() > handover::MAX_BODY_BYTES {
            // Its frame would end the connection, and all that was handed over on it.
            let declined = HandOverOutcome::Declined;
            return shell.dispatch(Event::HandOverEnded(search.call, declined));
        }
        let peer = self.get_or_connect(shell, &search.to, search.address);
        peer.pending.borrow_mut().insert(search.call, false);
        peer.channel.push(Item::Search(search));
    }

    /// Reports a crash to another instance.
    pub(in crate::edge) fn report_crash(
        &self,
        shell: &Rc<Shell>,
        instance: &Instance,
        crash: Crash,
    ) {
        let peer = self.get_or_connect(shell, &instance.name, instance.address);
        peer.channel.push(Item::Crash(crash));
    }

    /// Sends a message to other instances; it is lost for those that are unreachable.
    pub(in crate::edge) fn notify(&self, shell: &Rc<Shell>, to: &[Instance], payload: &Payload) {
        for instance in to {
            let peer = self.get_or_connect(shell, &instance.name, instance.address);
            peer.channel.push(Item::Payload(payload.clone()));
        }
    }

    /// Withdraws a search whose answer is no longer needed.
    pub(in crate::edge) fn withdraw(&self, call: CallId, from: &InstanceName) {
        let peer = self.0.borrow().get(from).cloned();
        let Some(peer) = peer else { return };
        match peer.pending.borrow_mut().remove(&call) {
            Some(true) => peer.channel.push(Item::Payload(Payload::Withdrawn(call.0))),
            Some(false) => peer
                .channel
                .retain(|item| !matches!(item, Item::Search(search) if search.call == call)),
            None => {}
        }
    }

    /// Confirms that the answer to a search is still needed.
    pub(in crate::edge) fn confirm(&self, call: CallId, to: &InstanceName) {
        if let Some(peer) = self.0.borrow().get(to) {
            peer.channel.push(Item::Payload(Payload::Confirmed(call.0)));
        }
    }

    /// Sends a ping to an instance, on a new connection if there is none.
    pub(in crate::edge) fn ping(&self, shell: &Rc<Shell>, name: &InstanceName) {
        if let Some(address) = shell.instance_address(name) {
            let peer = self.get_or_connect(shell, name, address);
            peer.channel.push(Item::Payload(Payload::Ping(true)));
        }
    }

    /// Closes the connection to an instance and ends the searches that were handed over on it.
    pub(in crate::edge) fn disconnect(&self, shell: &Rc<Shell>, name: &InstanceName) {
        let peer = self.0.borrow_mut().remove(name);
        if let Some(peer) = peer {
            drop(peer.task.take());
            peer.end(shell, name);
        }
    }

    /// Returns the connection to an instance, or opens one in the background.
    fn get_or_connect(
        &self,
        shell: &Rc<Shell>,
        name: &InstanceName,
        address: SocketAddr,
    ) -> Rc<Peer> {
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
            pending: RefCell::default(),
            updates: RefCell::default(),
            task: RefCell::default(),
        });
        self.0.borrow_mut().insert(name.clone(), Rc::clone(&peer));
        let task = spawn(run(Rc::clone(shell), name.clone(), Rc::clone(&peer)));
        *peer.task.borrow_mut() = Some(task);
        peer
    }
}

impl Peer {
    /// Ends the pending searches; those whose frame was not written have not run. Reports that were
    /// not written go back to the reducer.
    fn end(&self, shell: &Rc<Shell>, name: &InstanceName) {
        drop(self.updates.take());
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        for (call, was_sent) in pending {
            let outcome = if was_sent {
                HandOverOutcome::Broken
            } else {
                HandOverOutcome::Declined
            };
            shell.metrics.count_hand_over(&outcome);
            shell.dispatch(Event::HandOverEnded(call, outcome));
        }
        for item in self.channel.take_unsent() {
            if let Item::Crash(crash) = item {
                shell.dispatch(Event::ReportLost(name.clone(), crash));
            }
        }
    }

    /// Encodes an item; `None` for a search that is no longer pending.
    fn encode(&self, shell: &Shell, item: Item) -> Option<Frame> {
        let search = match item {
            Item::Payload(payload) => return Some(payload.into()),
            Item::Crash(crash) => return Some(Payload::Crash(to_report(shell, &crash)).into()),
            Item::Search(search) => search,
        };
        *self.pending.borrow_mut().get_mut(&search.call)? = true;
        let (method, target, body) = search.request.content();
        let identity = Identity::new(search.hides_key, search.organisation.as_ref());
        let headers = search.request.headers(identity);
        let left = search.deadline.since(shell.now());
        let max_delay = shell.hop_delay();
        let branch = search.branch.as_ref().map(|branch| Branch {
            shards: branch.shards.to_vec(),
            min_parts: u32::try_from(branch.min_parts).unwrap_or(u32::MAX),
            is_confirmed: branch.is_confirmed,
            due_us: micros(
                branch
                    .soft_deadline
                    .since(shell.now())
                    .saturating_sub(max_delay),
            ),
        });
        let hand_over = handover::HandOver {
            call: search.call.0,
            left_us: micros(left),
            due_us: Some(micros(search.due.since(shell.now()))),
            branch,
            version: search.version,
            organisation: search.organisation.as_ref().map(ToString::to_string),
            was_refused: search.was_refused,
            may_have_run: search.may_have_run,
            method: method.to_string(),
            target: target.to_string(),
            headers: to_frame(&headers),
            body: body.clone(),
        };
        // Builds that know no organisations would pass on keys, or name nobody; they ignore this
        // kind.
        let payload = match search.hides_key {
            true => Payload::IdentifiedHandOver(hand_over),
            false => Payload::HandOver(hand_over),
        };
        Some(payload.into())
    }

    /// Passes on an update, or sends an unfollow message if nobody receives updates any more.
    fn forward_update(&self, payload: Payload) {
        let is_wanted = match &*self.updates.borrow() {
            Some(updates) => updates.unbounded_send(payload).is_ok(),
            None => return,
        };
        if !is_wanted {
            drop(self.updates.take());
            self.channel.push(Item::Payload(Payload::Unfollow(true)));
        }
    }

    fn receive(&self, shell: &Rc<Shell>, name: &InstanceName, payload: Payload) {
        match payload {
            Payload::Accepted(call) => {
                let is_pending = self.pending.borrow().contains_key(&CallId(call));
                if is_pending && shell.is_confirmed(CallId(call)) {
                    self.channel.push(Item::Payload(Payload::Confirmed(call)));
                }
                shell.dispatch(Event::InstanceAlive(name.clone()));
            }
            Payload::Pong(_) => shell.dispatch(Event::InstanceAlive(name.clone())),
            Payload::Done(done) => {
                let call = CallId(done.call);
                if self.pending.borrow_mut().remove(&call).is_some() {
                    if let Some(limited_shards) = read_limited_shards(&done) {
                        shell.dispatch(Event::LimitedShards(call, limited_shards));
                    }
                    for departure in &done.departures {
                        let notice = Notice {
                            is_leaving: true,
                            ..Notice::default()
                        };
                        report_notice(shell, &departure.upstream, departure.started_ms, notice);
                    }
                    if let Some(limit) = &done.limit {
                        let notice = Notice {
                            limit: RequestRate::new(limit.per_second),
                            ..Notice::default()
                        };
                        report_notice(shell, &limit.upstream, limit.started_ms, notice);
                    }
                    let outcome = read_outcome(done);
                    shell.metrics.count_hand_over(&outcome);
                    shell.dispatch(Event::HandOverEnded(call, outcome));
                }
            }
            Payload::Update(_) | Payload::Watermark(_) | Payload::StoreLost(_) => {
                self.forward_update(payload)
            }
            Payload::TokenLoan(loan) => tokens::report(shell, name, loan),
            Payload::HandOver(_)
            | Payload::IdentifiedHandOver(_)
            | Payload::Withdrawn(_)
            | Payload::Confirmed(_)
            | Payload::Ping(_)
            | Payload::Follow(_)
            | Payload::Unfollow(_)
            | Payload::Crash(_)
            | Payload::Reply(_)
            | Payload::Quarantine(_)
            | Payload::Separated(_)
            | Payload::TokenRequest(_) => {
                warn!(shell.log, "ignoring a request on a connection that is for answers only";
                    "from" => %name);
            }
        }
    }
}

/// Returns the limited shards; `None` when the search was not run.
fn read_limited_shards(done: &Done) -> Option<Vec<LimitedShard>> {
    let limited_shards = done.limited_shards.iter().map(|shard| LimitedShard {
        shard: shard.shard,
        share: f64::from(shard.share).clamp(0.0, 1.0),
    });
    (done.status != 0).then(|| limited_shards.collect())
}

/// Reports to the reducer what an upstream has announced to another instance.
fn report_notice(shell: &Rc<Shell>, upstream: &str, started_ms: u64, notice: Notice) {
    match upstream.parse() {
        Ok(name) => shell.dispatch(Event::UpstreamNotice(name, started_ms, notice)),
        Err(e) => warn!(shell.log, "ignoring an announcement of an invalid upstream";
            "error" => %e),
    }
}

fn to_report(shell: &Shell, crash: &Crash) -> CrashReport {
    CrashReport {
        from: shell.cfg.borrow().instance.to_string(),
        digest: crash.digest,
        call: crash.call,
        service: crash.service.to_string(),
        upstream: crash.upstream.to_string(),
        age_us: micros(shell.now().since(crash.at)),
        started_ms: crash.started_ms,
        up_age_us: crash.up_at.map(|up_at| micros(shell.now().since(up_at))),
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns how a search ended at another instance.
fn read_outcome(done: Done) -> HandOverOutcome<UpstreamReply> {
    if done.status == 0 {
        return HandOverOutcome::Declined;
    }
    let status = u16::try_from(done.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let reply = status
        .zip(from_frame(done.headers))
        .and_then(|(status, headers)| UpstreamReply::from_instance(status, headers, done.body));
    reply.map_or(HandOverOutcome::Broken, HandOverOutcome::Answer)
}

/// Runs the connection to an instance until it ends.
async fn run(shell: Rc<Shell>, name: InstanceName, peer: Rc<Peer>) {
    let ended = async {
        let socket = connect(peer.address).await?;
        let encode = |item| peer.encode(&shell, item);
        let receive = |frames: Vec<Payload>, _| {
            for payload in frames {
                peer.receive(&shell, &name, payload);
            }
        };
        peer.channel.run(socket, encode, receive).await
    };
    if let Err(e) = ended.await {
        debug!(shell.log, "connection to an instance failed"; "instance" => %name, "error" => %e);
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
    peer.end(&shell, &name);
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
