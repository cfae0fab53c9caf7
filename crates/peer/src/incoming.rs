//! Incoming connections from peers.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::BytesMut;
use compio::{
    BufResult,
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use node::Event;
use slog::{debug, warn};
use tokio_util::codec::Decoder;
use wire::Codec;

use crate::Shared;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum buffer space for each read, in bytes.
const READ_BYTES: usize = 64 << 10;

/// Counts an incoming connection against the limit until dropped.
struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    fn take(used: &Rc<Cell<usize>>, limit: usize) -> Option<Self> {
        let next = used.get() + 1;
        (next <= limit).then(|| {
            used.set(next);
            Self(used.clone())
        })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections until the future is dropped, which also closes them.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    let used = Rc::new(Cell::new(0));
    let mut tasks = Vec::new();
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(shared.log, "failed to accept a connection from a peer"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(slot) = ConnectionSlot::take(&used, shared.settings.max_incoming) else {
            warn!(shared.log, "too many connections from peers; closing a new one"; "from" => %from);
            continue;
        };
        tasks.retain(|task: &compio::runtime::JoinHandle<()>| !task.is_finished());
        let shared = shared.clone();
        tasks.push(compio::runtime::spawn(async move {
            receive(&shared, stream, from).await;
            drop(slot);
        }));
    }
}

async fn receive(shared: &Shared, mut stream: TcpStream, from: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(shared.log, "failed to set TCP_NODELAY"; "error" => %error);
    }
    let mut codec = Codec::default();
    let mut buf = BytesMut::new();
    loop {
        match timeout(
            shared.settings.idle_timeout * 2,
            read(&mut stream, &mut buf),
        )
        .await
        {
            Ok(Ok(0)) | Err(_) => return,
            Ok(Ok(n)) => shared.count.update(|c| c.bytes_in += n as u64),
            Ok(Err(error)) => {
                debug!(shared.log, "connection from a peer failed"; "from" => %from, "error" => %error);
                return;
            }
        }
        if !deliver(shared, &mut codec, &mut buf, from) {
            return;
        }
    }
}

async fn read(stream: &mut TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    buf.reserve(READ_BYTES);
    let BufResult(result, filled) = stream.append(std::mem::take(buf)).await;
    *buf = filled;
    result
}

/// Delivers all complete frames in `buf`; returns false when the connection must be closed.
fn deliver(shared: &Shared, codec: &mut Codec, buf: &mut BytesMut, from: SocketAddr) -> bool {
    loop {
        match codec.decode(buf) {
            Ok(Some(envelope)) => {
                shared.count.update(|c| c.frames_in += 1);
                if shared.events.unbounded_send(Event::Peer(envelope)).is_err() {
                    return false;
                }
            }
            Ok(None) => return true,
            Err(error) => {
                shared.count.update(|c| c.malformed += 1);
                warn!(shared.log, "invalid frame from a peer; closing the connection";
                    "from" => %from, "error" => %error);
                return false;
            }
        }
    }
}
