//! Tests of the load generator: outcomes, coverage and the rate and duration of an open loop.

use std::{cell::Cell, net::Ipv4Addr, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::net::TcpListener;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use rig::{
    load::{self, Config, Kind, LoadModel},
    reply::{self, Abort, Reply},
    server::{self, Connections, Handler, Server},
};

use super::block_on;

/// Replies in rotation with full coverage, with partial coverage and with status 503, and closes
/// the connection of every fourth request.
struct Instance {
    connections: Connections,
    requests: Cell<u64>,
}

impl Handler for Instance {
    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, _first: bool, req: Request<Incoming>) -> Result<Reply, Abort> {
        assert_eq!(req.uri().path(), "/v1/entries/shortlist/search");
        let number = self.requests.replace(self.requests.get() + 1);
        let answer = |coverage: &str| {
            let hits = r#"[{"text":"a \"coverage\": b"}]"#;
            let body = format!(r#"{{"hits":{hits},"coverage":{coverage}}}"#);
            Ok(reply::with_body(StatusCode::OK, body.into()))
        };
        match number % 4 {
            0 => answer(r#"{"asked":3,"answered":3,"missing":[]}"#),
            1 => answer(r#"{"asked":3,"answered":2,"missing":["b"]}"#),
            2 => Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE)),
            _ => Err(Abort),
        }
    }
}

fn start() -> Server {
    let server = Server::spawn(|| async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let instance = Instance {
            connections: Connections::new(100),
            requests: Cell::new(0),
        };
        compio::runtime::spawn(server::serve(listener, Rc::new(instance))).detach();
        Ok(vec![address])
    });
    server.unwrap()
}

fn config(server: &Server, model: LoadModel) -> Config {
    Config {
        targets: server.addresses().to_vec(),
        entry: "shortlist".parse().unwrap(),
        kind: Kind::Search,
        model,
        connections: 4,
        duration: Duration::from_secs(10),
        count: 40,
        bodies: vec![Bytes::from_static(b"{}")],
        deadline: None,
        seed: 1,
        keep_replies: false,
    }
}

#[test]
fn a_closed_loop_counts_outcomes_and_coverage() {
    let server = start();
    let report = block_on(load::run(&config(&server, LoadModel::ClosedLoop))).unwrap();
    assert_eq!((report.all.count, report.failed), (40, 10));
    assert_eq!(report.statuses[&200].count, 20);
    assert_eq!(report.statuses[&503].count, 10);
    let coverage = report.coverage;
    assert_eq!((coverage.full, coverage.partial), (10, 10));
    assert_eq!((coverage.none, coverage.inconsistent), (0, 0));
    assert_eq!((coverage.answered, coverage.asked), (50, 60));
}

#[test]
fn an_open_loop_keeps_its_rate_until_its_time_is_over() {
    let server = start();
    let cfg = Config {
        duration: Duration::from_secs(1),
        count: u64::MAX,
        connections: 32,
        ..config(&server, LoadModel::OpenLoop(200.0))
    };
    let report = block_on(load::run(&cfg)).unwrap();
    assert!((120..280).contains(&report.all.count), "{report}");
    assert!(report.seconds < 5.0, "{report}");
}
