//! Connections from other instances, which hand over searches to this one.

use std::{cell::RefCell, collections::HashMap, io, rc::Rc, time::Duration};

use base::{CallId, DataCentre, InstanceName};
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
use tier::{Answer, Event, Origin, crash::Crash, event::BranchHead, organisation::Credential};
use wire::handover::{
    CrashReport, Departure, Done, HandOver, LimitedShard, NamedLimit, Payload, Quarantined,
    Separated,
};

use super::{channel::Channel, from_frame, to_frame, tokens};
use crate::edge::shell::{PendingCall, Shell};

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Searches that run for another instance, by the id that its connection uses.
type Running = Rc<RefCell<HashMap<u64, (CallId, JoinHandle<()>)>>>;

/// Accepts connections from other instances.
pub(in crate::edge) async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let shell = Rc::clone(&shell);
                spawn(async move {
                    if let Err(e) = serve(&shell, stream).await {
                        debug!(shell.log, "connection from an instance failed"; "from" => %from,
                            "error" => %e);
                    }
                })
                .detach();
            }
            Err(e) => {
                warn!(shell.log, "failed to accept a connection from an instance"; "error" => %e);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(shell: &Rc<Shell>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket: PollFd<Socket> = stream.into_poll_fd()?;
    set_tcp_timeouts(&socket, Keepalive::Enabled)?;
    let channel: Rc<Channel<Payload>> = Rc::default();
    // Dropping a task reports to the reducer that nobody waits for its search any more.
    let running = Running::default();
    let receive = |frames: Vec<Payload>, is_closed: bool| {
        let withdrawn: Vec<u64> = frames
            .iter()
            .filter_map(|payload| match payload {
                Payload::Withdrawn(call) => Some(*call),
                _ => None,
            })
            .collect();
        for payload in frames {
            match payload {
                // A search that was withdrawn while this process was paused is not started.
                Payload::HandOver(hand_over)
                    if !is_closed && !withdrawn.contains(&hand_over.call) =>
                {
                    start_search(shell, &channel, &running, hand_over, false);
                }
                Payload::IdentifiedHandOver(hand_over)
                    if !is_closed && !withdrawn.contains(&hand_over.call) =>
                {
                    start_search(shell, &channel, &running, hand_over, true);
                }
                Payload::Withdrawn(call) => drop(running.borrow_mut().remove(&call)),
                Payload::Confirmed(call) => {
                    let id = running.borrow().get(&call).map(|(id, _)| *id);
                    if let Some(id) = id {
                        shell.dispatch(Event::Confirmed(id));
                    }
                }
                Payload::Ping(_) => channel.push(Payload::Pong(true)),
                Payload::Follow(follow) => shell.feed.add_follower(&channel, follow),
                Payload::Unfollow(_) => shell.feed.remove_follower(&channel),
                Payload::Crash(report) => match parse_crash(shell, report) {
                    Some((from, crash)) => shell.dispatch(Event::CrashReported(from, crash)),
                    None => warn!(shell.log, "ignoring an invalid report of a crash"),
                },
                Payload::Reply(report) => match report.service.parse() {
                    Ok(service) => shell.dispatch(Event::ReplyReported(report.digest, service)),
                    Err(e) => {
                        warn!(shell.log, "ignoring an invalid report of a reply"; "error" => %e);
                    }
                },
                Payload::Quarantine(Quarantined { digest, left_ms }) => {
                    let left = Duration::from_millis(left_ms);
                    shell.dispatch(Event::QuarantineShared(digest, left));
                }
                Payload::Separated(separated) => report_separation(shell, &separated),
                Payload::HandOver(_)
                | Payload::IdentifiedHandOver(_)
                | Payload::Accepted(_)
                | Payload::Done(_)
                | Payload::Pong(_) => {}
                Payload::TokenRequest(request) => match tokens::reply(shell, request) {
                    Some(loan) => channel.push(Payload::TokenLoan(loan)),
                    None => warn!(shell.log, "ignoring an invalid request for tokens"),
                },
                Payload::TokenLoan(_) => {}
                Payload::Update(_) | Payload::Watermark(_) | Payload::StoreLost(_) => {}
            }
        }
    };
    let result = channel
        .run(socket, |payload| Some(payload.into()), receive)
        .await;
    shell.feed.remove_follower(&channel);
    let unfinished = std::mem::take(&mut *running.borrow_mut());
    drop(unfinished);
    result
}

/// Reports to the reducer which data centres a neighbour does not reach.
fn report_separation(shell: &Rc<Shell>, separated: &Separated) {
    let names = separated.data_centres.iter();
    let parsed: Result<Vec<DataCentre>, _> = names.map(|name| name.parse()).collect();
    match parsed {
        Ok(all) => shell.dispatch(Event::SeparationReported(all)),
        Err(e) => warn!(shell.log, "ignoring a report of an invalid data centre"; "error" => %e),
    }
}

/// Returns the sender of a report and the crash; `None` if a name is invalid.
fn parse_crash(shell: &Shell, report: CrashReport) -> Option<(InstanceName, Crash)> {
    let ago = |age_us| shell.now() - Duration::from_micros(age_us);
    let crash = Crash {
        digest: report.digest,
        call: report.call,
        service: report.service.parse().ok()?,
        upstream: report.upstream.parse().ok()?,
        started_ms: report.started_ms,
        up_at: report.up_age_us.map(ago),
        at: ago(report.age_us),
    };
    Some((report.from.parse().ok()?, crash))
}

/// Starts a search for another instance; `is_identified` tells whether that one has authenticated
/// the caller.
fn start_search(
    shell: &Rc<Shell>,
    channel: &Rc<Channel<Payload>>,
    running: &Running,
    hand_over: HandOver,
    is_identified: bool,
) {
    let call = hand_over.call;
    if hand_over.branch.is_none() {
        channel.push(Payload::Accepted(call));
    }
    let Some((head, request)) = parse(hand_over, is_identified) else {
        warn!(
            shell.log,
            "declining an invalid search from another instance"
        );
        channel.push(Payload::Done(declined(call)));
        return;
    };
    let pending = shell.start_call(head, request);
    let id = pending.id();
    let (channel, searches) = (Rc::clone(channel), Rc::clone(running));
    let task = spawn(async move {
        let done = finish_search(call, pending).await;
        channel.push(Payload::Done(done));
        if let Some((_, task)) = searches.borrow_mut().remove(&call) {
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

/// Waits for the answer to a search and encodes it.
async fn finish_search(call: u64, pending: PendingCall) -> Done {
    let (mut limited_shards, mut departures) = (Vec::new(), Vec::new());
    let mut limit = None;
    let answer = match pending.answer().await {
        Some(Answer::Declined) | None => return declined(call),
        Some(answer) => {
            if let Answer::Gathered(gathered) = &answer {
                departures.extend(
                    gathered
                        .departures
                        .iter()
                        .map(|(name, started_ms)| Departure {
                            upstream: name.to_string(),
                            started_ms: *started_ms,
                        }),
                );
                limited_shards.extend(gathered.limited_shards.iter().map(|shard| LimitedShard {
                    shard: shard.shard,
                    share: shard.share as f32,
                }));
            }
            if let Answer::Reply(reply) = &answer
                && let Some((upstream, started_ms, notice)) = reply.announcement()
            {
                let upstream = upstream.to_string();
                limit = notice.limit.map(|rate| NamedLimit {
                    upstream: upstream.clone(),
                    started_ms,
                    per_second: rate.per_second(),
                });
                let departure = Departure {
                    upstream,
                    started_ms,
                };
                departures.extend(notice.is_leaving.then_some(departure));
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
        limited_shards,
        departures,
        limit,
    }
}

fn parse(hand_over: HandOver, is_identified: bool) -> Option<(tier::Head, CallerRequest)> {
    let origin = Origin::Instance {
        version: hand_over.version,
        was_refused: hand_over.was_refused,
        may_have_run: hand_over.may_have_run,
    };
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = hand_over.method.parse().ok()?;
    parts.uri = hand_over.target.parse().ok()?;
    parts.headers = from_frame(hand_over.headers)?;
    let left = Duration::from_micros(hand_over.left_us);
    let (mut head, request) =
        CallerRequest::read_handed_over(parts, hand_over.body, left, origin).ok()?;
    if is_identified {
        let organisation = hand_over.organisation.map(|name| name.parse());
        let organisation = organisation.transpose().ok()?;
        head.credential = organisation.map_or(Credential::Absent, Credential::Verified);
    }
    head.due = hand_over.due_us.map(Duration::from_micros);
    head.branch = hand_over.branch.map(|branch| BranchHead {
        shards: branch.shards.into(),
        min_parts: branch.min_parts as usize,
        due: Duration::from_micros(branch.due_us),
        is_confirmed: branch.is_confirmed,
    });
    Some((head, request))
}
