//! Clients: one request at a time, on a kept connection where there is one.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Message},
    record::Record,
};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// How one client attempt ended.
#[derive(Debug)]
pub enum End {
    Answered(Message),
    /// The daemon has not read the request in time, and the client has closed the connection.
    Abandoned,
    /// The connection ended without an answer, or could not be opened.
    Broken,
}

impl End {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answered(answer) => answer.status(),
            Self::Abandoned | Self::Broken => 0,
        }
    }
}

pub struct Client {
    pub host: String,
    conn: Option<(SocketAddr, Conn)>,
    record: Record,
}

impl Client {
    pub fn new(host: &str, record: &Record) -> Self {
        Self {
            host: host.into(),
            conn: None,
            record: record.clone(),
        }
    }

    pub fn close(&mut self) {
        self.conn = None;
    }

    /// Returns the daemon of the kept connection.
    pub fn kept(&self) -> Option<SocketAddr> {
        self.conn.as_ref().map(|(address, _)| *address)
    }

    /// Sends one attempt; `abandon_after` is the time after which the client gives up a daemon that
    /// has not read the request, given whether the daemon stands still.
    pub fn ask(
        &mut self,
        address: SocketAddr,
        path: &str,
        left: Duration,
        stands_still: impl Fn(SocketAddr) -> bool,
    ) -> (String, End) {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed) + (1 << 40));
        let kept = self.conn.take().filter(|(known, it)| *known == address && !it.is_closed());
        let conn = match kept {
            Some((_, conn)) => Ok(conn),
            None => Conn::connect(address, Duration::from_secs(1)),
        };
        self.record.write(&format!("sent {id} {path} to {address}"));
        let end = match conn {
            Ok(conn) => self.exchange(conn, address, path, &id, left, stands_still),
            Err(_) => End::Broken,
        };
        let text = match &end {
            End::Answered(answer) => format!("answer {id} {}", answer.status()),
            other => format!("end {id} {other:?}"),
        };
        self.record.write(&text);
        (id, end)
    }

    fn exchange(
        &mut self,
        mut conn: Conn,
        address: SocketAddr,
        path: &str,
        id: &str,
        left: Duration,
        stands_still: impl Fn(SocketAddr) -> bool,
    ) -> End {
        let millis = left.as_millis().to_string();
        let headers = [
            ("Host", self.host.as_str()),
            ("X-Request-Id", id),
            ("X-Timeout-Remaining", &millis),
        ];
        let mut line = format!("GET {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            line.push_str(&format!("{name}: {value}\r\n"));
        }
        line.push_str("\r\n");
        if std::io::Write::write_all(&mut conn.stream, line.as_bytes()).is_err() {
            return End::Broken;
        }
        let start = Instant::now();
        let patience = Duration::from_secs(1).min(left / 3);
        loop {
            let slice = Duration::from_millis(20);
            let _ = conn.stream.set_read_timeout(Some(slice));
            let mut byte = [0];
            match conn.stream.peek(&mut byte) {
                Ok(0) => return End::Broken,
                Ok(_) => break,
                Err(e) if is_timeout(&e) => {}
                Err(_) => return End::Broken,
            }
            let waited = start.elapsed();
            if waited >= left || waited >= patience && stands_still(address) {
                return End::Abandoned;
            }
        }
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(2)));
        match conn.read(false) {
            Ok(Some(answer)) => {
                let closes = answer
                    .header("connection")
                    .is_some_and(|it| it.eq_ignore_ascii_case("close"));
                if !closes {
                    self.conn = Some((address, conn));
                }
                End::Answered(answer)
            }
            _ => End::Broken,
        }
    }
}

fn is_timeout(e: &std::io::Error) -> bool {
    matches!(
        e.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
