//! Searches that other instances hand over.

use std::{cell::RefCell, collections::HashMap, io, rc::Rc, time::Duration};

use base::CallId;
use compio::{
    net::{TcpListener, TcpStream},
    runtime::{JoinHandle, fd::PollFd, spawn},
    time::sleep,
};
use http::Request;
use http_body_util::BodyExt;
use pipe::{Keepalive, connection::set_tcp_timeouts};
use platform::{CallerRequest, answer};
use slog::{debug, warn};
use socket2::Socket;
use tier::{Answer, Event, Origin, event::BranchHead};
use wire::handover::{Done, HandOver, OverloadedShard, Payload};

use super::{channel::Channel, from_frame, to_frame};
use crate::edge::shell::{InHand, Shell};

/// Wait after a failed accept, such as when no file descriptor is free.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Searches that run for other instances on one connection, by their number there.
type Running = Rc<RefCell<HashMap<u64, (CallId, JoinHandle<()>)>>>;

/// Accepts connections of other instances.
pub(in crate::edge) async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let shell = Rc::clone(&shell);
                spawn(async move {
                    if let Err(e) = serve(&shell, stream).await {
                        debug!(shell.log, "connection of an instance broke"; "from" => %from,
                            "error" => %e);
                    }
                })
                .detach();
            }
            Err(e) => {
                warn!(shell.log, "a connection of an instance can't be accepted"; "error" => %e);
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve(shell: &Rc<Shell>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket: PollFd<Socket> = stream.into_poll_fd()?;
    set_tcp_timeouts(&socket, Keepalive::Enabled)?;
    let channel: Rc<Channel<Payload>> = Rc::default();
    // Dropping a task tells the reducer that nobody waits for its search any more.
    let running = Running::default();
    let receive = |frames: Vec<Payload>, is_closed: bool| {
        let withdrawn: Vec<u64> = frames
            .iter()
            .filter_map(|said| match said {
                Payload::Withdrawn(call) => Some(*call),
                _ => None,
            })
            .collect();
        for said in frames {
            match said {
                // A search that was given up while this instance stood still is not begun.
                Payload::HandOver(hand) if !is_closed && !withdrawn.contains(&hand.call) => {
                    take(shell, &channel, &running, hand);
                }
                Payload::Withdrawn(call) => drop(running.borrow_mut().remove(&call)),
                Payload::Confirmed(call) => {
                    let id = running.borrow().get(&call).map(|(id, _)| *id);
                    if let Some(id) = id {
                        shell.dispatch(Event::Confirmed(id));
                    }
                }
                Payload::Ping(_) => channel.push(Payload::Pong(true)),
                Payload::Follow(follow) => shell.feed.follow(&channel, follow),
                Payload::Unfollow(_) => shell.feed.unfollow(&channel),
                Payload::HandOver(_)
                | Payload::Accepted(_)
                | Payload::Done(_)
                | Payload::Pong(_) => {}
                Payload::Update(_) | Payload::Watermark(_) | Payload::StoreLost(_) => {}
            }
        }
    };
    let result = channel.run(socket, |said| Some(said.into()), receive).await;
    shell.feed.unfollow(&channel);
    let left = std::mem::take(&mut *running.borrow_mut());
    drop(left);
    result
}

/// Runs a search for another instance.
fn take(shell: &Rc<Shell>, channel: &Rc<Channel<Payload>>, running: &Running, hand: HandOver) {
    let call = hand.call;
    if hand.branch.is_none() {
        channel.push(Payload::Accepted(call));
    }
    let Some((head, request)) = read(hand) else {
        warn!(shell.log, "a search of another instance can't be read");
        channel.push(Payload::Done(declined(call)));
        return;
    };
    let in_hand = shell.start_call(head, request);
    let id = in_hand.id();
    let (channel, ended) = (Rc::clone(channel), Rc::clone(running));
    let task = spawn(async move {
        let done = run(call, in_hand).await;
        channel.push(Payload::Done(done));
        if let Some((_, task)) = ended.borrow_mut().remove(&call) {
            task.detach();
        }
    });
    running.borrow_mut().insert(call, (id, task));
}

fn declined(call: u64) -> Done {
    Done {
        call,
        ..Done::default()
    }
}

async fn run(call: u64, in_hand: InHand) -> Done {
    let mut short = Vec::new();
    let answer = match in_hand.answer().await {
        Some(Answer::Declined) | None => return declined(call),
        Some(answer) => {
            if let Answer::Gathered(gathered) = &answer {
                short.extend(gathered.overloaded.iter().map(|short| OverloadedShard {
                    shard: short.shard,
                    share: short.share as f32,
                }));
            }
            answer::to_response(answer)
        }
    };
    let (head, body) = answer.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(never) => match never {},
    };
    Done {
        call,
        status: u32::from(head.status.as_u16()),
        headers: to_frame(&head.headers),
        body,
        overloaded: short,
    }
}

fn read(hand: HandOver) -> Option<(tier::Head, CallerRequest)> {
    let origin = Origin::Instance {
        version: hand.version,
        was_refused: hand.was_refused,
        may_have_run: hand.may_have_run,
    };
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = hand.method.parse().ok()?;
    parts.uri = hand.target.parse().ok()?;
    parts.headers = from_frame(hand.headers)?;
    let left = Duration::from_micros(hand.left_us);
    let (mut head, request) =
        CallerRequest::read_handed_over(parts, hand.body, left, origin).ok()?;
    head.branch = hand.branch.map(|branch| BranchHead {
        shards: branch.shards.into(),
        min_parts: branch.min_parts as usize,
        due: Duration::from_micros(branch.due_us),
        is_confirmed: branch.is_confirmed,
    });
    Some((head, request))
}
