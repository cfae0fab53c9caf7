//! Endpoints for operators.

use std::rc::Rc;

use http::{Method, StatusCode, request::Parts};
use node::Event;
use serde_json::json;

use crate::{
    answer::{self, Reply},
    error::BadRequest,
    front::Front,
    json,
};

/// Media type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Initial capacity for a status document, in bytes.
const STATUS_BYTES: usize = 1024;

/// Responds to an operator's request.
///
/// # Errors
///
/// Fails when no endpoint has the path, or the endpoint requires another method.
pub(crate) fn respond(front: &Rc<Front>, head: &Parts) -> Result<Reply, BadRequest> {
    let (allowed, endpoint): (_, fn(&Front) -> Reply) = match head.uri.path() {
        "/health" => (Method::GET, health),
        "/metrics" => (Method::GET, metrics),
        "/v1/status" => (Method::GET, status),
        "/v1/drain" => (Method::POST, drain),
        _ => return Err(BadRequest::UnknownPath),
    };
    if head.method != allowed {
        return Err(BadRequest::Method { allowed });
    }
    Ok(endpoint(front))
}

fn health(front: &Front) -> Reply {
    let status = front.status.borrow();
    let serving = !front.is_stopping() && status.as_ref().is_some_and(|s| s.is_serving());
    let code = if serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let body = json!({
        "serving": serving,
        "ready": status.as_ref().is_some_and(|s| s.ready),
        "draining": front.is_stopping() || status.as_ref().is_some_and(|s| s.draining),
        "instance": status.as_ref().map(|s| &s.instance),
        "revision": status.as_ref().map(|s| s.revision),
    });
    answer::json(code, json::write(&body, STATUS_BYTES))
}

fn metrics(front: &Front) -> Reply {
    answer::with_type(StatusCode::OK, front.metrics().text(), METRICS_TYPE)
}

fn status(front: &Front) -> Reply {
    match &*front.status.borrow() {
        Some(status) => answer::json(StatusCode::OK, json::write(status, STATUS_BYTES)),
        None => answer::json(
            StatusCode::SERVICE_UNAVAILABLE,
            json::write(&json!({"ready": false}), STATUS_BYTES),
        ),
    }
}

fn drain(front: &Front) -> Reply {
    // The receiver is dropped only when the instance ends.
    let _ = front.events.unbounded_send(Event::Drain);
    let body = json!({"draining": true});
    answer::json(StatusCode::ACCEPTED, json::write(&body, STATUS_BYTES))
}
