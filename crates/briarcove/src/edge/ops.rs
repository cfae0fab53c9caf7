//! HTTP endpoints for the readiness check, the metrics and the status.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::{
    net::{TcpListener, TcpStream},
    runtime::spawn,
    time::sleep,
};
use cyper_core::HyperStream;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use platform::headers::READY_PATH;
use slog::{debug, warn};

use super::shell::Shell;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the status that `briarcove status` reads.
const STATUS_PATH: &str = "/v1/status";

/// Accepts connections on the readiness or the metrics address.
pub(super) async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn(serve(Rc::clone(&shell), stream)).detach();
            }
            Err(e) => {
                warn!(shell.log, "failed to accept a connection to the operators' endpoints";
                    "error" => %e);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(shell: Rc<Shell>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let reply = respond(&shell, request.uri().path());
        async move { Ok::<_, Infallible>(reply) }
    });
    let io = HyperStream::new_plain(stream);
    if let Err(e) = http1::Builder::new().serve_connection(io, service).await {
        debug!(shell.log, "connection to the operators' endpoints failed"; "error" => %e);
    }
}

fn respond(shell: &Shell, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = match path {
        READY_PATH if shell.is_ready() => (StatusCode::OK, Bytes::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        METRICS_PATH => {
            shell.update_gauges();
            (StatusCode::OK, shell.metrics.encode_text().into())
        }
        STATUS_PATH => (StatusCode::OK, shell.status().to_string().into()),
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply
}
