//! HTTP connection of a pool and the task that drives it.

use std::{
    future::{Future, poll_fn},
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use compio::{net::TcpStream, time::timeout};
use http_body_util::Full;
use hyper::{
    client::conn::http1::{self, Connection, SendRequest},
    rt::{Read, Write},
};

use pipe::{Inflow, Io};

use crate::{
    exchange::{self, Disposition},
    job::Job,
    pool::{Assignment, Connecting, IdleHandle, Permit, Pool},
};

/// Longest time for which a closed connection keeps its permit until its socket is released.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(20);

/// Opens a connection and runs the jobs of the pool on it until it closes.
pub(crate) async fn run(pool: Rc<Pool>, permit: Permit, connecting: Connecting) {
    let opened = open(&pool).await;
    drop(connecting);
    match opened {
        Ok((conn, socket)) => {
            pool.shared.count(|s| s.opened += 1);
            serve(&pool, conn).await;
            // Keeps the permit until the socket is closed.
            let _ = timeout(CLOSE_TIMEOUT, socket.close()).await;
        }
        Err(_) => pool.connect_failed(),
    }
    drop(permit);
    pool.open_for_waiting_jobs();
}

async fn open(pool: &Pool) -> io::Result<(HttpConnection<impl Stream>, TcpStream)> {
    let connect = TcpStream::connect(pool.address);
    let socket = timeout(pool.shared.settings.connect_timeout, connect)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    socket.set_nodelay(true)?;
    let inflow = Inflow::default();
    let read_buf = pool.shared.read_buf.clone();
    let stream = Io::new(socket.to_poll_fd()?, read_buf, inflow.clone());
    let (sender, driver) = http1::handshake(stream).await.map_err(io::Error::other)?;
    let conn = HttpConnection {
        sender,
        driver: Some(driver),
        inflow,
    };
    Ok((conn, socket))
}

async fn serve(pool: &Rc<Pool>, mut conn: HttpConnection<impl Stream>) {
    while let Some(job) = next_job(pool, &mut conn).await {
        match exchange::run(pool, &mut conn, job).await {
            Disposition::Reuse => {}
            Disposition::Close => return,
        }
    }
}

/// Waits for a job; `None` when the connection has closed or must close.
async fn next_job(pool: &Rc<Pool>, conn: &mut HttpConnection<impl Stream>) -> Option<Rc<Job>> {
    if !conn.ready().await || pool.is_over_limit() {
        return None;
    }
    if let Some(job) = pool.take_waiting() {
        return Some(job);
    }
    let handle = pool.register_idle()?;
    match poll_fn(|cx| conn.poll_idle(cx, &handle)).await {
        Assignment::Job(job) => {
            // The upstream may have closed the connection while it was idle.
            conn.inflow.clear_drained();
            Some(job)
        }
        Assignment::Nothing | Assignment::Close => None,
    }
}

/// I/O stream of a connection.
pub(crate) trait Stream: Read + Write + Unpin + 'static {}

impl<S: Read + Write + Unpin + 'static> Stream for S {}

/// Hyper's client connection: the request sender and the driver that does the I/O.
pub(crate) struct HttpConnection<S: Stream> {
    /// Sends requests.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: Option<Connection<S, Full<Bytes>>>,
    inflow: Inflow,
}

impl<S: Stream> HttpConnection<S> {
    /// Drives the connection until `future` completes; `None` when the job is abandoned first.
    pub(crate) async fn drive<F: Future>(&mut self, job: &Job, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        let mut registered = false;
        poll_fn(|cx| {
            if job.is_finished() {
                return Poll::Ready(None);
            }
            if !registered {
                job.set_waker(cx.waker());
                registered = true;
            }
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            self.poll_driver(cx);
            // Polls again because the driver may have read the response or closed the connection.
            future.as_mut().poll(cx).map(Some)
        })
        .await
    }

    fn is_closed(&self) -> bool {
        self.driver.is_none()
    }

    /// Drives the connection until it accepts a request; false when it has closed.
    async fn ready(&mut self) -> bool {
        poll_fn(|cx| {
            if let Poll::Ready(result) = self.sender.poll_ready(cx) {
                return Poll::Ready(result.is_ok() && !self.is_closed());
            }
            self.poll_driver(cx);
            match self.sender.poll_ready(cx) {
                _ if self.is_closed() => Poll::Ready(false),
                Poll::Ready(result) => Poll::Ready(result.is_ok()),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Drives the idle connection until it receives an assignment or closes.
    fn poll_idle(&mut self, cx: &mut Context<'_>, handle: &IdleHandle) -> Poll<Assignment> {
        match handle.take(cx.waker()) {
            Assignment::Nothing => {}
            assignment => return Poll::Ready(assignment),
        }
        self.poll_driver(cx);
        if self.is_closed() {
            return Poll::Ready(Assignment::Close);
        }
        Poll::Pending
    }

    fn poll_driver(&mut self, cx: &mut Context<'_>) {
        self.inflow.start_turn();
        if let Some(driver) = &mut self.driver
            && Pin::new(driver).poll(cx).is_ready()
        {
            self.driver = None;
        }
    }
}
