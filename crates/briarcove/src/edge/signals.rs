//! Signal handling: graceful stop on SIGTERM, reload of the settings on SIGHUP.

use std::{rc::Rc, time::Duration};

use compio::{runtime::spawn, time::sleep};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use nix::sys::signal::Signal;
use slog::{error, info, warn};
use tier::Event;

use super::shell::{Shell, tier_settings};

/// Interval at which the settings file is checked; the platform may change it without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a stopping instance checks for open connections.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time for which an instance keeps serving after SIGTERM: the platform sends it new
/// connections until two readiness checks, a second apart, have failed.
const MIN_STOP_TIME: Duration = Duration::from_millis(3_200);

/// Time limit for writing the answers that are ready when the connections are closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Reloads the settings when their file has changed.
pub(super) fn watch_settings(shell: &Rc<Shell>) {
    let on_change = Rc::clone(shell);
    spawn(async move {
        let mut last_version = file_version(&on_change);
        loop {
            sleep(SETTINGS_CHECK_INTERVAL).await;
            on_change.pools.sweep();
            on_change.note_log.report_dropped(on_change.now());
            let version = file_version(&on_change);
            if version != last_version {
                last_version = version;
                reload(&on_change, "file changed");
            }
        }
    })
    .detach();
}

/// Logs which mechanisms are switched off, if any.
pub(super) fn warn_of_disabled(shell: &Shell) {
    let disabled = shell.disabled();
    if !disabled.is_empty() {
        warn!(shell.log, "mechanisms are switched off"; "disabled" => %disabled);
    }
}

/// Returns the modification time and size of the settings file.
fn file_version(shell: &Shell) -> Option<(std::time::SystemTime, u64)> {
    let meta = std::fs::metadata(&shell.settings_path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}

/// Reloads the settings file and applies it; the listening addresses do not change until a restart.
fn reload(shell: &Rc<Shell>, reason: &str) {
    match platform::Settings::load(&shell.settings_path) {
        Ok(cfg) => {
            let changed = *shell.cfg.borrow() != cfg;
            info!(shell.log, "settings reloaded"; "why" => reason, "changed" => changed);
            shell.dispatch(Event::Settings(tier_settings(&cfg)));
            *shell.cfg.borrow_mut() = cfg;
            warn_of_disabled(shell);
        }
        Err(findings) => {
            warn!(shell.log, "ignoring an invalid settings file; keeping the previous settings";
                "why" => reason, "findings" => %findings);
        }
    }
}

/// Reloads the settings on each SIGHUP; returns on SIGTERM.
async fn wait_for_stop(shell: &Rc<Shell>, signals: &mut UnboundedReceiver<Signal>) {
    loop {
        match signals.next().await {
            Some(Signal::SIGHUP) => reload(shell, "signal"),
            Some(_) => return,
            None => {
                error!(shell.log, "no longer receiving signals");
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Serves until SIGTERM, then drains: goes on until no connection is open and [`MIN_STOP_TIME`] is
/// over, but no longer than the grace period. Then the remaining requests are ended and the
/// connections are closed.
pub(super) async fn run_until_stopped(shell: &Rc<Shell>, mut signals: UnboundedReceiver<Signal>) {
    wait_for_stop(shell, &mut signals).await;
    let grace = shell.cfg.borrow().grace;
    info!(shell.log, "stopping; readiness checks fail from now on";
        "in_hand" => shell.pending_requests(), "connections" => shell.connections.open(),
        "grace_ms" => grace.as_millis() as u64);
    let start = shell.now();
    let stops_at = start + grace;
    shell.set_draining(stops_at);
    loop {
        sleep(STOP_CHECK_INTERVAL).await;
        let now = shell.now();
        let is_idle = shell.connections.open() == 0;
        if now >= stops_at || now.since(start) >= MIN_STOP_TIME && is_idle {
            break;
        }
    }
    shell.dispatch(Event::Stop);
    shell.connections.close();
    let end = shell.now() + FLUSH_TIMEOUT;
    while shell.connections.open() > 0 && shell.now() < end {
        sleep(STOP_CHECK_INTERVAL / 5).await;
    }
}
