//! Configurations, as the operator writes them.

/// A route to one service.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub aim_ms: u64,
    /// Target of the route: a member of the object, such as `"service":"a"`.
    pub target: &'a str,
}

/// Returns a configuration.
pub fn write(
    version: u64,
    routes: &[Route<'_>],
    services: &[&str],
    max_connections: u64,
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|it| {
            let Route { name, prefix, kind, timeout_ms, aim_ms, target } = it;
            format!(
                r#"{{"name":"{name}","host":"pupu76.example","pathPrefix":"{prefix}","routeType":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":{aim_ms},"priority":2,{target},"maxAttempts":2}}"#
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":{max_connections},"protocol":"h1","tls":false}}"#)
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
