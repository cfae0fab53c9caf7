//! Trial.
use std::{io::{Read, Write}, net::TcpStream, sync::Arc, thread, time::Duration};
use super::Outcome;
use crate::{http, rig::*, store::Store};
pub fn run(record: &Record, _t: bool) -> Outcome {
    let (store, runs) = (Store::default(), Runs::default());
    let address = store.serve();
    let odd: Vec<Vec<u8>> = {
        let h = |extra: &str| format!("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n{extra}\r\nok").into_bytes();
        let mut v: Vec<Vec<u8>> = vec![
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n".to_vec(),
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok".to_vec(),
            b"HTTP/1.1 199 X\r\n\r\n".to_vec(),
            b"HTTP/1.1 999 X\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok".to_vec(),
            b"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok".to_vec(),
            b"HTTP/1.1 204 X\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok".to_vec(),
            b"HTTP/1.1 304 X\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok".to_vec(),
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: -2\r\n\r\nok".to_vec(),
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 99999999999999999999\r\n\r\nok".to_vec(),
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 18446744073709551615\r\n\r\nok".to_vec(),
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nok".to_vec(),
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\r\n\r\n".to_vec(),
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), vec![0; 70000], vec![b'A'; 200000],
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: \xff\xfe\r\nContent-Length: 2\r\n\r\nok".to_vec(),
            b"HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n".to_vec(),
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok".to_vec(),
            b"HTTP/1.1 503 X\r\nRetry-After: 1e308\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec(),
        ];
        for x in ["inf", "NaN", "-1", "1e400", "99999999999999999999999", "", "0x10", "1e-320", "0"] {
            for n in ["X-Server-Load", "X-Cold-Remaining", "Server-Limit", "Server-Leaving", "Keep-Alive"] {
                v.push(h(&format!("{n}: {x}\r\n")));
            }
            v.push(h(&format!("Keep-Alive: timeout={x}\r\n")));
            v.push(h(&format!("X-Server-Load: {x},{x},{x},{x}\r\n")));
            v.push(h(&format!("X-Server-Load: 1,1,2,{x}\r\n")));
            v.push(format!("HTTP/1.1 503 X\r\nRetry-After: {x}\r\nContent-Length: 0\r\n\r\n").into_bytes());
        }
        v
    };
    let count = odd.len();
    let fault: Fault = Arc::new(move |req, _, _, stream| {
        let n: usize = req.target.rsplit('/').next()?.parse().ok()?;
        let it = odd.get(n)?;
        let _ = stream.write_all(it);
        thread::sleep(Duration::from_millis(30));
        Some(false)
    });
    for at in 0..12 {
        let it = Backend::start(&format!("i-{at}"), "order-desk", "riga-a", Power { work: Duration::from_millis(2), slots: 4 }, &runs, record, Arc::clone(&fault));
        it.register(&store, "ready");
    }
    let routes = [route("r-1", "/orders/", "idempotent", "order-desk", 1000), route("r-2", "/posts/", "non_idempotent", "order-desk", 1000)];
    configure(&store, 3, &routes, &["order-desk"]);
    let mut instance = Instance::new("edge-riga-a-1", "riga-a", address);
    instance.start().map_err(|e| e.to_string())?;
    if !instance.wait_ready() { return Err("not ready".into()); }
    thread::sleep(Duration::from_secs(3));
    for n in 0..count {
        for path in ["orders", "posts"] {
            let text = http::Connection::open(instance.front, Duration::from_secs(3)).and_then(|mut l| l.get(&format!("/{path}/{n}"), &[("Host", "dts.example"), ("X-Request-Id", &format!("{path}-{n}")), ("X-Timeout-Remaining", "1000")]));
            record.line(&format!("{path} {n} {:?}", text.map(|r| (r.status, r.headers, r.body))));
        }
        if let Some(e) = instance.ended() { return Ok(Some(format!("ended at {n}: {e}"))); }
        thread::sleep(Duration::from_millis(20));
    }
    // Callers.
    let raw: Vec<Vec<u8>> = vec![
        b"GET /orders/x HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\nX-Timeout-Remaining: 1e308\r\n\r\n".to_vec(),
        b"GET /orders/x HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\nX-Timeout-Remaining: inf\r\n\r\n".to_vec(),
        b"GET /orders/x HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\nX-Timeout-Remaining: -5\r\n\r\n".to_vec(),
        b"GET /orders/x HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\nX-Timeout-Remaining: 0\r\n\r\n".to_vec(),
        b"GET http://dts.example?q=1 HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\n\r\n".to_vec(),
        b"OPTIONS * HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\n\r\n".to_vec(),
        b"CONNECT dts.example:80 HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\n\r\n".to_vec(),
        b"HEAD /orders/x HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\n\r\n".to_vec(),
        b"GET /orders/x HTTP/1.0\r\nHost: dts.example\r\nX-Request-Id: a\r\n\r\n".to_vec(),
        b"GET /orders/%ff%00x?a=%zz HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: \xff\r\n\r\n".to_vec(),
        b"POST /posts/x HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n2\r\nab\r\n0\r\n\r\n".to_vec(),
        b"POST /posts/x HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_vec(),
        b"GET /orders/x HTTP/1.1\r\nHost: \r\nX-Request-Id: a\r\n\r\n".to_vec(),
        [b"GET /orders/x HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\nX-Long: ".to_vec(), vec![b'a'; 16100], b"\r\n\r\n".to_vec()].concat(),
        b"GET /orders/x HTTP/1.1\r\nHost: dts.example\r\nX-Request-Id: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n".to_vec(),
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
    ];
    for (n, bytes) in raw.iter().enumerate() {
        let mut s = TcpStream::connect(instance.front).map_err(|e| e.to_string())?;
        let _ = s.set_read_timeout(Some(Duration::from_millis(1500)));
        let _ = s.write_all(bytes);
        let mut buf = [0; 2000];
        let read = s.read(&mut buf).unwrap_or(0);
        record.line(&format!("raw {n} {:?} -> {:?}", String::from_utf8_lossy(&bytes[..bytes.len().min(60)]), String::from_utf8_lossy(&buf[..read])));
        if let Some(e) = instance.ended() { return Ok(Some(format!("ended at raw {n}: {e}"))); }
    }
    Ok(None)
}
