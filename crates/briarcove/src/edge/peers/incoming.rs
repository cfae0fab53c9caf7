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
use pipe::{Silence, link::watch_silence};
use platform::{CallerRequest, answer};
use slog::{debug, warn};
use socket2::Socket;
use tier::{Answer, Event, Origin, event::BranchHead};
use wire::handover::{Done, Hand, Said, Short};

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
    watch_silence(&socket, Silence::Probed)?;
    let channel: Rc<Channel<Said>> = Rc::default();
    // Dropping a task tells the reducer that nobody waits for its search any more.
    let running = Running::default();
    let receive = |frames: Vec<Said>, is_closed: bool| {
        let withdrawn: Vec<u64> = frames
            .iter()
            .filter_map(|said| match said {
                Said::Withdrawn(call) => Some(*call),
                _ => None,
            })
            .collect();
        for said in frames {
            match said {
                // A search that was given up while this instance stood still is not begun.
                Said::Hand(hand) if !is_closed && !withdrawn.contains(&hand.call) => {
                    take(shell, &channel, &running, hand);
                }
                Said::Withdrawn(call) => drop(running.borrow_mut().remove(&call)),
                Said::Confirmed(call) => {
                    let id = running.borrow().get(&call).map(|(id, _)| *id);
                    if let Some(id) = id {
                        shell.dispatch(Event::Confirmed(id));
                    }
                }
                Said::Ping(_) => channel.push(Said::Pong(true)),
                Said::Follow(follow) => shell.feed.follow(&channel, follow),
                Said::Unfollow(_) => shell.feed.unfollow(&channel),
                Said::Hand(_) | Said::Taken(_) | Said::Done(_) | Said::Pong(_) => {}
                Said::News(_) | Said::Beat(_) | Said::Blind(_) => {}
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
fn take(shell: &Rc<Shell>, channel: &Rc<Channel<Said>>, running: &Running, hand: Hand) {
    let call = hand.call;
    if hand.branch.is_none() {
        channel.push(Said::Taken(call));
    }
    let Some((head, request)) = read(hand) else {
        warn!(shell.log, "a search of another instance can't be read");
        channel.push(Said::Done(declined(call)));
        return;
    };
    let in_hand = shell.start_call(head, request);
    let id = in_hand.id();
    let (channel, ended) = (Rc::clone(channel), Rc::clone(running));
    let task = spawn(async move {
        let done = run(call, in_hand).await;
        channel.push(Said::Done(done));
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
                short.extend(gathered.short.iter().map(|short| Short {
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
        short,
    }
}

fn read(hand: Hand) -> Option<(tier::Head, CallerRequest)> {
    let origin = Origin::Instance {
        version: hand.version,
        is_return: hand.is_return,
        is_repeat: hand.is_repeat,
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
        least: branch.least as usize,
        due: Duration::from_micros(branch.due_us),
        is_confirmed: branch.is_confirmed,
    });
    Some((head, request))
}
