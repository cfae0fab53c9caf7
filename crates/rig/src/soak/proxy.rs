//! A loopback proxy that harms the connections through it.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use socket2::SockRef;

/// Interval at which a connection looks for bytes and for changes of its condition.
const LOOK: Duration = Duration::from_millis(5);

/// What happens to bytes on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// They pass.
    #[default]
    Sound,
    /// They pass after a time.
    Delayed(Duration),
    /// Those to the server are held until the condition changes.
    CutThere,
    /// Those from the server are held.
    CutBack,
    /// All are held.
    Silent,
}

#[derive(Default)]
struct Shared {
    condition: Mutex<Condition>,
    /// Connections that were opened before this are reset.
    resets: AtomicU64,
    stops: AtomicBool,
}

impl Shared {
    fn condition(&self) -> MutexGuard<'_, Condition> {
        self.condition
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A proxy; dropping it ends its connections.
pub(super) struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy in front of a server.
    ///
    /// # Errors
    ///
    /// Fails when it can't listen.
    pub(super) fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared::default());
        let held = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, server, &held));
        Ok(Self { address, shared })
    }

    /// Returns where it listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to bytes.
    pub(super) fn set(&self, condition: Condition) {
        *self.shared.condition() = condition;
    }

    /// Resets the present connections.
    pub(super) fn reset(&self) {
        self.shared.resets.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stops.store(true, Ordering::Relaxed);
    }
}

fn accept(listener: &TcpListener, server: SocketAddr, shared: &Arc<Shared>) {
    while !shared.stops.load(Ordering::Relaxed) {
        let Ok((client, _)) = listener.accept() else {
            thread::sleep(LOOK);
            continue;
        };
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            // A server that is not there looks like one that closes at once.
            let _ = carry(&client, server, &shared);
        });
    }
}

fn carry(client: &TcpStream, server: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    let server = TcpStream::connect(server)?;
    let ends = [client, &server];
    for end in ends {
        end.set_nonblocking(false)?;
        end.set_nodelay(true)?;
        end.set_read_timeout(Some(LOOK))?;
    }
    let opened = shared.resets.load(Ordering::Relaxed);
    thread::scope(|scope| {
        scope.spawn(|| pump(client, &server, true, opened, shared));
        pump(&server, client, false, opened, shared);
    });
    Ok(())
}

/// Passes bytes one way until an end closes.
fn pump(mut from: &TcpStream, mut to: &TcpStream, is_there: bool, opened: u64, shared: &Shared) {
    let mut buf = [0; 16 << 10];
    loop {
        if shared.stops.load(Ordering::Relaxed) {
            break;
        }
        if shared.resets.load(Ordering::Relaxed) != opened {
            for end in [from, to] {
                // A socket that lingers for no time is reset when it closes.
                let _ = SockRef::from(end).set_linger(Some(Duration::ZERO));
            }
            break;
        }
        let condition = *shared.condition();
        let is_held = match condition {
            Condition::Sound | Condition::Delayed(_) => false,
            Condition::CutThere => is_there,
            Condition::CutBack => !is_there,
            Condition::Silent => true,
        };
        if is_held {
            thread::sleep(LOOK);
            continue;
        }
        match from.read(&mut buf) {
            Ok(0) => break,
            Ok(read) => {
                if let Condition::Delayed(time) = condition {
                    thread::sleep(time);
                }
                if to.write_all(&buf[..read]).is_err() {
                    break;
                }
            }
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(_) => break,
        }
    }
    for end in [from, to] {
        // The other direction notices; an end may be closed already.
        let _ = end.shutdown(Shutdown::Both);
    }
}

/// Waits until a condition holds, or a time is over; returns whether it holds.
pub(super) fn wait_for(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + within;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
}
