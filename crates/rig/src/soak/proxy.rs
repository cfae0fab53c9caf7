//! A TCP proxy on the loopback interface that injects network faults.

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

use socket2::{Domain, SockRef, Socket, Type};

use super::{
    cuts::{Cut, Cuts, upstream_ip},
    plan::INSTANCES,
};

/// Interval at which a connection checks for data and for changes of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Connections that a proxy queues before it accepts them.
const LISTEN_BACKLOG: i32 = 128;

/// How a proxy forwards data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// Data is forwarded without delay.
    #[default]
    Sound,
    /// Each read is forwarded after a delay.
    Delayed(Duration),
    /// Data to the server is not forwarded until the condition changes.
    CutThere,
    /// Data from the server is not forwarded until the condition changes.
    CutBack,
    /// No data is forwarded until the condition changes.
    Silent,
}

#[derive(Default)]
struct Shared {
    condition: Mutex<Condition>,
    /// Number of resets so far; a connection that was opened before the last reset is closed.
    resets: AtomicU64,
    /// Whether the server's process has ended, so that connections are refused.
    has_ended: Arc<AtomicBool>,
    /// Whether its machine has ended too, so that connections get no answer at all.
    ends_silently: AtomicBool,
    is_stopping: AtomicBool,
    /// Instances that are cut off from the server.
    cuts: Arc<Cuts>,
}

impl Shared {
    fn condition(&self) -> MutexGuard<'_, Condition> {
        self.condition
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A proxy; dropping it closes its connections.
pub(super) struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy in front of a server.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub(super) fn start(
        server: SocketAddr,
        has_ended: &Arc<AtomicBool>,
        cuts: &Arc<Cuts>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            has_ended: Arc::clone(has_ended),
            cuts: Arc::clone(cuts),
            ..Shared::default()
        });
        let held = Arc::clone(&shared);
        thread::spawn(move || accept(listener, server, &held));
        Ok(Self { address, shared })
    }

    /// Accepts the connections of instances at addresses of their own too, so that each can be cut off.
    ///
    /// # Errors
    ///
    /// Fails when the port is in use at one of these addresses.
    pub(super) fn tell_instances_apart(&self, server: SocketAddr) -> io::Result<()> {
        for instance in 0..INSTANCES {
            let address = (upstream_ip(instance), self.address.port());
            let listener = TcpListener::bind(address)?;
            listener.set_nonblocking(true)?;
            let shared = Arc::clone(&self.shared);
            thread::spawn(move || {
                while !shared.is_stopping.load(Ordering::Relaxed) {
                    match listener.accept() {
                        Ok((client, _)) => {
                            start_connection(client, server, &shared, Some(instance))
                        }
                        Err(_) => thread::sleep(POLL_INTERVAL),
                    }
                }
            });
        }
        Ok(())
    }

    /// Returns the address on which the proxy listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how data is forwarded, on open connections too.
    pub(super) fn set_condition(&self, condition: Condition) {
        *self.shared.condition() = condition;
    }

    /// Sets whether the server ends in silence when it ends the next time.
    pub(super) fn set_silent_end(&self, is_silent: bool) {
        self.shared
            .ends_silently
            .store(is_silent, Ordering::Relaxed);
    }

    /// Resets all open connections.
    pub(super) fn reset(&self) {
        self.shared.resets.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
    }
}

fn accept(mut listener: TcpListener, server: SocketAddr, shared: &Arc<Shared>) {
    while !shared.is_stopping.load(Ordering::Relaxed) {
        if shared.has_ended.load(Ordering::Relaxed) {
            listener = match while_ended(listener, shared) {
                Ok(listener) => listener,
                Err(e) => {
                    eprintln!("a proxy does not listen again after its server's end: {e}");
                    return;
                }
            };
        }
        let Ok((client, _)) = listener.accept() else {
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        start_connection(client, server, shared, None);
    }
}

/// Forwards a connection, of an instance if it is known, on threads of its own.
fn start_connection(
    client: TcpStream,
    server: SocketAddr,
    shared: &Arc<Shared>,
    instance: Option<usize>,
) {
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        // If the server is unreachable, the client sees its connection closed.
        let _ = proxy_connection(&client, server, &shared, instance);
    });
}

/// Behaves as the machine of a server whose process has ended, until it is up again; returns the
/// listener for further connections.
fn while_ended(listener: TcpListener, shared: &Shared) -> io::Result<TcpListener> {
    let address = listener.local_addr()?;
    let ends_silently = shared.ends_silently.load(Ordering::Relaxed);
    let has_ended =
        || shared.has_ended.load(Ordering::Relaxed) && !shared.is_stopping.load(Ordering::Relaxed);
    let listener = if ends_silently {
        // Once the queue of a listener that accepts nothing is full, connects get no answer.
        SockRef::from(&listener).listen(0)?;
        let fill = || TcpStream::connect_timeout(&address, POLL_INTERVAL).ok();
        let queued: Vec<_> = (0..3).map(|_| fill()).collect();
        while has_ended() {
            thread::sleep(POLL_INTERVAL);
        }
        drop(queued);
        SockRef::from(&listener).listen(LISTEN_BACKLOG)?;
        listener
    } else {
        drop(listener);
        // A bound socket that does not listen keeps the port and refuses connections.
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        // Another process may use the port for an outgoing connection for a moment.
        while socket.bind(&address.into()).is_err() && has_ended() {
            thread::sleep(POLL_INTERVAL);
        }
        shared.resets.fetch_add(1, Ordering::Relaxed);
        while has_ended() {
            thread::sleep(POLL_INTERVAL);
        }
        listen_again(&socket, address, shared)?;
        socket.into()
    };
    listener.set_nonblocking(true)?;
    // The connections of the last incarnation end at the latest now.
    shared.resets.fetch_add(1, Ordering::Relaxed);
    Ok(listener)
}

/// Listens on a socket that may not have got its port back yet.
fn listen_again(socket: &Socket, address: SocketAddr, shared: &Shared) -> io::Result<()> {
    loop {
        let is_bound = socket.local_addr()?.as_socket() == Some(address);
        match is_bound || socket.bind(&address.into()).is_ok() {
            true => return socket.listen(LISTEN_BACKLOG),
            false if shared.is_stopping.load(Ordering::Relaxed) => {
                return Err(io::ErrorKind::AddrInUse.into());
            }
            false => thread::sleep(POLL_INTERVAL),
        }
    }
}

fn proxy_connection(
    client: &TcpStream,
    server: SocketAddr,
    shared: &Arc<Shared>,
    instance: Option<usize>,
) -> io::Result<()> {
    let cut = || instance.and_then(|instance| shared.cuts.of(instance));
    while cut() == Some(Cut::Hangs) && !shared.is_stopping.load(Ordering::Relaxed) {
        thread::sleep(POLL_INTERVAL);
    }
    if cut().is_some() {
        return SockRef::from(client).set_linger(Some(Duration::ZERO));
    }
    let server = TcpStream::connect(server)?;
    let ends = [client, &server];
    for end in ends {
        end.set_nonblocking(false)?;
        end.set_nodelay(true)?;
        end.set_read_timeout(Some(POLL_INTERVAL))?;
    }
    let generation = shared.resets.load(Ordering::Relaxed);
    thread::scope(|scope| {
        scope.spawn(|| forward(client, &server, true, generation, shared, &cut));
        forward(&server, client, false, generation, shared, &cut);
    });
    Ok(())
}

/// Forwards data in one direction until either end closes.
fn forward(
    mut from: &TcpStream,
    mut to: &TcpStream,
    to_server: bool,
    generation: u64,
    shared: &Shared,
    cut: &impl Fn() -> Option<Cut>,
) {
    let mut buf = [0; 16 << 10];
    loop {
        if shared.is_stopping.load(Ordering::Relaxed) {
            break;
        }
        let cut = cut();
        if shared.resets.load(Ordering::Relaxed) != generation || cut == Some(Cut::Resets) {
            for end in [from, to] {
                // A socket with a linger time of zero sends RST on close.
                let _ = SockRef::from(end).set_linger(Some(Duration::ZERO));
            }
            break;
        }
        let condition = *shared.condition();
        let is_held = shared.has_ended.load(Ordering::Relaxed)
            || cut == Some(Cut::Hangs)
            || match condition {
                Condition::Sound | Condition::Delayed(_) => false,
                Condition::CutThere => to_server,
                Condition::CutBack => !to_server,
                Condition::Silent => true,
            };
        if is_held {
            thread::sleep(POLL_INTERVAL);
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
        // Ends the other direction too. An end may be closed already.
        let _ = end.shutdown(Shutdown::Both);
    }
}

/// Polls a condition until it holds or a timeout expires; returns whether it holds.
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
