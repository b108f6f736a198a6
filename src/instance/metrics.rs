//! Prometheus metrics of an instance.

use std::time::Duration;

use prometheus::{
    Encoder as _, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histograms' buckets, in seconds.
const BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Metrics of one instance process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Callers' requests by route and outcome.
    pub requests: IntCounterVec,
    /// Time to the answer, by route.
    pub latency: HistogramVec,
    /// Runs of items, by how they ended.
    pub items: IntCounterVec,
    /// Server crashes during requests, by event: seen here, forgiven, requests refused, trials.
    pub crashes: IntCounterVec,
    /// Server runs whose shutdown this instance learned from their own answers.
    pub leaving: IntCounter,
    /// Registry entries of backend servers that could not be decoded.
    pub unreadable: IntCounter,
    /// Callers' connections that were closed or refused at a limit, by cause.
    pub connections_closed: IntCounterVec,
    /// Requests sent to servers in other availability zones, by zone.
    pub zone_requests: IntCounterVec,
    /// Bytes of the bodies of these requests, by zone.
    pub zone_bytes: IntCounterVec,
    /// Mean cost of a zone in the choice of a server, by service and zone.
    pub zone_cost: GaugeVec,
    /// Share of the requests to a service that leaves to a zone, by service and zone.
    pub zone_share: GaugeVec,
    /// Submissions that met a silent store, by event: waited, resumed, refused.
    pub submissions: IntCounterVec,
    /// Silences of the store, by event: silence, probe, return, repeat.
    pub outages: IntCounterVec,
    /// Current values, such as open jobs, running items, known instances and opened connections.
    pub present: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// A metric's name is invalid or registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests = Opts::new("basillead_requests_total", "Callers' requests");
        let requests = IntCounterVec::new(requests, &["route", "outcome"])?;
        let latency = HistogramOpts::new("basillead_request_seconds", "Time to the answer")
            .buckets(BUCKETS.to_vec());
        let latency = HistogramVec::new(latency, &["route"])?;
        let items = Opts::new("basillead_items_total", "Runs of items by their end");
        let items = IntCounterVec::new(items, &["end"])?;
        let crashes = Opts::new(
            "basillead_crashes_total",
            "Crashes of backend servers under callers' requests",
        );
        let crashes = IntCounterVec::new(crashes, &["event"])?;
        let leaving = IntCounter::new(
            "basillead_servers_leaving_total",
            "Backend servers that said that they leave",
        )?;
        let unreadable = IntCounter::new(
            "basillead_server_entries_unreadable_total",
            "Registry entries of backend servers that could not be decoded",
        )?;
        let closed = Opts::new(
            "basillead_connections_closed_total",
            "Callers' connections closed or refused at a limit",
        );
        let connections_closed = IntCounterVec::new(closed, &["cause"])?;
        let zone_requests = Opts::new(
            "basillead_zone_requests_total",
            "Requests sent to other availability zones",
        );
        let zone_requests = IntCounterVec::new(zone_requests, &["zone"])?;
        let zone_bytes = Opts::new(
            "basillead_zone_bytes_total",
            "Bytes of request bodies sent to other availability zones",
        );
        let zone_bytes = IntCounterVec::new(zone_bytes, &["zone"])?;
        let zone_cost = Opts::new(
            "basillead_zone_cost",
            "Mean cost of a zone, as a fraction of a server's slots",
        );
        let zone_cost = GaugeVec::new(zone_cost, &["service", "zone"])?;
        let zone_share = Opts::new(
            "basillead_zone_share",
            "Share of requests that leaves to a zone",
        );
        let zone_share = GaugeVec::new(zone_share, &["service", "zone"])?;
        let submissions = Opts::new(
            "basillead_submissions_total",
            "Submissions that met a silent store",
        );
        let submissions = IntCounterVec::new(submissions, &["event"])?;
        let outages = Opts::new("basillead_store_outage_total", "Silences of the store");
        let outages = IntCounterVec::new(outages, &["event"])?;
        let present = Opts::new("basillead_present", "Present values");
        let present = IntGaugeVec::new(present, &["what"])?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(items.clone()))?;
        registry.register(Box::new(crashes.clone()))?;
        registry.register(Box::new(leaving.clone()))?;
        registry.register(Box::new(unreadable.clone()))?;
        registry.register(Box::new(connections_closed.clone()))?;
        registry.register(Box::new(zone_requests.clone()))?;
        registry.register(Box::new(zone_bytes.clone()))?;
        registry.register(Box::new(zone_cost.clone()))?;
        registry.register(Box::new(zone_share.clone()))?;
        registry.register(Box::new(submissions.clone()))?;
        registry.register(Box::new(outages.clone()))?;
        registry.register(Box::new(present.clone()))?;
        Ok(Self {
            registry,
            requests,
            latency,
            items,
            crashes,
            leaving,
            unreadable,
            connections_closed,
            zone_requests,
            zone_bytes,
            zone_cost,
            zone_share,
            submissions,
            outages,
            present,
        })
    }

    /// Counts an event of [`Self::crashes`].
    pub fn count_crash(&self, event: &str) {
        self.crashes.with_label_values(&[event]).inc();
    }

    /// Counts a request with a body of `bytes` to a server in another availability zone.
    pub fn count_zone_request(&self, zone: &str, bytes: usize) {
        self.zone_requests.with_label_values(&[zone]).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.zone_bytes.with_label_values(&[zone]).inc_by(bytes);
    }

    /// Counts an event of [`Self::submissions`].
    pub fn count_submission(&self, event: &str) {
        self.submissions.with_label_values(&[event]).inc();
    }

    /// Counts an event of [`Self::outages`].
    pub fn count_outage(&self, event: &str) {
        self.outages.with_label_values(&[event]).inc();
    }

    /// Counts a finished caller's request and observes its latency.
    pub fn observe_request(&self, route: &str, outcome: &str, took: Duration) {
        self.requests.with_label_values(&[route, outcome]).inc();
        self.latency
            .with_label_values(&[route])
            .observe(took.as_secs_f64());
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            super::events::event!("metrics_failed", "error" => error);
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
