//! Signals: stopping, and reading the settings again.

use std::{io, rc::Rc, time::Duration};

use compio::{runtime::spawn, signal::unix::signal, time::sleep};
use slog::{error, info, warn};
use tier::Event;

use super::shell::{Shell, decisions};

/// Interval at which the settings file is looked at; it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a stopping instance looks at what is in hand.
const STOP_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time that an instance serves after it was told to stop: the platform takes two failed
/// readiness checks, a second apart, before it sends no more connections.
const STOP_SERVES: Duration = Duration::from_millis(3_200);

/// Time for answers that are ready to be written.
const FLUSH: Duration = Duration::from_millis(300);

/// Reads the settings again on a signal, and when the file has changed.
pub(super) fn watch_reload(shell: &Rc<Shell>) {
    let on_signal = Rc::clone(shell);
    spawn(async move {
        loop {
            match signal(libc::SIGHUP).await {
                Ok(()) => reload(&on_signal, "signal"),
                Err(e) => return error!(on_signal.log, "SIGHUP can't be awaited"; "error" => %e),
            }
        }
    })
    .detach();
    let on_change = Rc::clone(shell);
    spawn(async move {
        let mut seen = modified(&on_change);
        loop {
            sleep(SETTINGS_INTERVAL).await;
            on_change.pools.sweep();
            on_change.lines.flush(on_change.now());
            let now = modified(&on_change);
            if now != seen {
                seen = now;
                reload(&on_change, "file changed");
            }
        }
    })
    .detach();
}

fn modified(shell: &Shell) -> Option<(std::time::SystemTime, u64)> {
    let meta = std::fs::metadata(&shell.settings_path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}

/// Puts changed settings in force; addresses that are listened on stay as they were.
fn reload(shell: &Rc<Shell>, why: &str) {
    match platform::Settings::load(&shell.settings_path) {
        Ok(cfg) => {
            let changed = *shell.cfg.borrow() != cfg;
            info!(shell.log, "settings read again"; "why" => why, "changed" => changed);
            shell.dispatch(Event::Settings(decisions(&cfg)));
            *shell.cfg.borrow_mut() = cfg;
        }
        Err(findings) => {
            warn!(shell.log, "settings are not valid; the old ones stay in force";
                "why" => why, "findings" => %findings);
        }
    }
}

/// Serves until the process is told to stop and what is in hand is answered.
pub(super) async fn run_until_stopped(
    shell: &Rc<Shell>,
    stop: impl Future<Output = io::Result<()>>,
) {
    if let Err(e) = stop.await {
        error!(shell.log, "SIGTERM can't be awaited"; "error" => %e);
        std::future::pending::<()>().await;
    }
    let grace = shell.cfg.borrow().grace;
    info!(shell.log, "stopping: not ready from now on"; "in_hand" => shell.in_hand(),
        "connections" => shell.connections.open(), "grace_ms" => grace.as_millis() as u64);
    shell.set_draining();
    let start = shell.now();
    loop {
        sleep(STOP_INTERVAL).await;
        let waited = shell.now().since(start);
        let idle = shell.connections.open() == 0;
        if waited >= grace || waited >= STOP_SERVES && idle {
            break;
        }
    }
    shell.dispatch(Event::Stop);
    shell.connections.close();
    let end = shell.now() + FLUSH;
    while shell.connections.open() > 0 && shell.now() < end {
        sleep(STOP_INTERVAL / 5).await;
    }
}
