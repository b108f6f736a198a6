//! `basillead explain-route`: shows where an instance would send a request now, and why.

use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use gumdrop::Options;
use http::{Request, Uri};

use super::{CmdError, EXIT_REFUSED};
use crate::http::Client;
use crate::instance::route_report::{RouteReport, ServerReport, ServiceReport, ZoneReport};

/// Timeout of the call to the instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Shows where an instance would send a request or a batch job now, and why, without sending it.
///
/// Shows the services of the route, what is measured of their availability zones, all servers with
/// the reason for which they are excluded or the terms of their cost, the choice, and the age of
/// each input. Exit status 3 if the instance has no route for the request.
#[derive(Debug, Options)]
pub(super) struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(
        help = "base URL of the instance's metrics page",
        required,
        meta = "URL"
    )]
    metrics: String,
    #[options(help = "the request's host", required, meta = "HOST")]
    host: String,
    #[options(free, required, help = "the request's path")]
    path: String,
    #[options(help = "print the answer as JSON")]
    json: bool,
}

pub(super) fn run(args: &Args) -> Result<ExitCode, CmdError> {
    let base = args.metrics.trim_end_matches('/');
    let (host, path) = (&args.host, &args.path);
    let uri: Uri = format!("{base}/route?host={host}&path={path}").parse()?;
    let request = Request::get(uri).body(Bytes::new())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let answer = runtime.block_on(async { Client::new().fetch(request, CALL_TIMEOUT).await })?;
    if !answer.status().is_success() {
        return Err(format!("the instance answered with status {}", answer.status()).into());
    }
    let report: RouteReport = serde_json::from_slice(answer.body())?;
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        show(&report);
    }
    if report.route.is_none() {
        eprintln!("no route for host {host} and path {path}");
        return Ok(ExitCode::from(EXIT_REFUSED));
    }
    Ok(ExitCode::SUCCESS)
}

fn show(report: &RouteReport) {
    let ready = if report.ready { "ready" } else { "not ready" };
    println!("instance {} in {}, {ready}", report.instance, report.zone);
    for (input, age) in &report.ages {
        println!("{input} read {}", age_text(*age));
    }
    if let Some(route) = &report.route {
        let kind = if report.job { " (batch jobs)" } else { "" };
        println!("route {route}{kind}");
    }
    for service in &report.services {
        show_service(service, report.job);
    }
}

fn show_service(service: &ServiceReport, job: bool) {
    println!("service {} weight {}", service.name, service.weight);
    if let Some(leader) = &service.leader {
        println!("  leader {leader}");
    }
    for zone in &service.zones {
        show_zone(zone);
    }
    for server in &service.servers {
        show_server(server);
    }
    for choice in &service.choices {
        println!(
            "  choice {} for {:.2} of requests, to {}",
            choice.server, choice.share, choice.zone
        );
    }
    match &service.leader {
        Some(_) if job => println!("  items are started by the leader, where slots are free"),
        None if job => println!("  items wait: the service has no leader"),
        _ if service.choices.is_empty() => println!("  no server takes a request"),
        _ => {}
    }
}

fn show_zone(zone: &ZoneReport) {
    let number = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.2}"));
    println!(
        "  zone {} share {:.2} time {} refused {} measured {}",
        zone.name,
        zone.share,
        number(zone.time),
        number(zone.refused),
        age_text(zone.age)
    );
}

fn show_server(server: &ServerReport) {
    let excluded = server.excluded.as_deref();
    let excluded = excluded.map_or_else(String::new, |why| format!(", excluded: {why}"));
    let suspect = if server.suspect { ", suspect" } else { "" };
    let link = if server.connected { ", connected" } else { "" };
    println!(
        "  server {} in {} running {} of {}, zone cost {:.2}{suspect}{link}{excluded}",
        server.id, server.zone, server.running, server.slots, server.cost
    );
}

fn age_text(age: Option<u64>) -> String {
    age.map_or("never".to_owned(), |age| format!("{age} ms ago"))
}
