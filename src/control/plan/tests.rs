//! Tests of plans for small fleets, without clocks or sockets.

use super::*;

const MANIFEST: &str = r#"
base = 0
[[tenants]]
name = "t"
[[pools]]
name = "p"
kind = "engine"
zones = ["a", "b", "c"]
min = 3
max = 9
cheap_percent = 50
slots = 10
"#;

#[derive(Default)]
struct Fleet {
    servers: Vec<BackendServer>,
    leaving: BTreeSet<ServerId>,
    drained: BTreeSet<ServerId>,
    cheap_refused: BTreeSet<(Pool, Zone)>,
    demand: BTreeMap<Pool, u64>,
    memory: PlanMemory,
    sequence: u32,
}

impl Fleet {
    fn plan(&mut self, now: Instant) -> Vec<Action> {
        let manifest = Manifest::parse(MANIFEST).expect("the manifest parses");
        let inputs = Inputs {
            manifest: &manifest,
            servers: &self.servers,
            unlisted: &[],
            leaving: &self.leaving,
            drained: &self.drained,
            cheap_refused: &self.cheap_refused,
            demand: &self.demand,
        };
        plan(&inputs, &mut self.memory, now)
    }

    /// Executes a plan like a platform with unlimited capacity.
    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Start { pool, zone, cheap } => {
                    self.sequence += 1;
                    let price = if *cheap { Price::Cheap } else { Price::Regular };
                    self.servers.push(BackendServer {
                        address: String::new(),
                        id: format!("s{}", self.sequence),
                        notice_ms: None,
                        pool: pool.to_string(),
                        price,
                        state: ServerState::Running,
                        zone: zone.to_string(),
                    });
                }
                Action::Mark { server, leaving } if *leaving => {
                    self.leaving.insert(server.clone());
                }
                Action::Mark { server, .. } => {
                    self.leaving.remove(server);
                }
                Action::Stop { server } => self.servers.retain(|s| s.id != server.as_str()),
            }
        }
    }

    /// Plans and executes, with marked servers drained at once, until nothing is left to do.
    fn settle(&mut self, now: Instant) {
        for _ in 0..10 {
            let actions = self.plan(now);
            if actions.is_empty() {
                return;
            }
            self.apply(&actions);
            self.drained = self.leaving.clone();
        }
        panic!("plans still have actions after 10 rounds");
    }

    fn demand(&mut self, requests: u64) {
        self.demand.insert("p".into(), requests);
    }

    fn cheap_in(&self, zone: &str) -> usize {
        let cheap = self.servers.iter().filter(|s| s.price == Price::Cheap);
        cheap.filter(|s| s.zone == zone).count()
    }
}

#[test]
fn plan_starts_spread() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.demand(42);
    fleet.settle(now);
    assert_eq!(fleet.servers.len(), 6);
    for zone in ["a", "b", "c"] {
        let count = fleet.servers.iter().filter(|s| s.zone == zone).count();
        assert_eq!(count, 2, "{zone}");
        // Half of six may be cheap, spread evenly: a reclaim in one zone takes one of them.
        assert_eq!(fleet.cheap_in(zone), 1, "{zone}");
    }
}

#[test]
fn plan_holds_size() {
    let (mut fleet, start) = (Fleet::default(), Instant::now());
    let mut orders = 0;
    // Demand that alternates every second between busy and idle.
    for second in 0..300 {
        fleet.demand(if second % 2 == 0 { 42 } else { 0 });
        let actions = fleet.plan(start + Duration::from_secs(second));
        orders += actions.len();
        fleet.apply(&actions);
    }
    assert_eq!((orders, fleet.servers.len()), (6, 6));
}

#[test]
fn plan_shrinks_after_cooldown() {
    let (mut fleet, start) = (Fleet::default(), Instant::now());
    fleet.demand(42);
    fleet.settle(start);
    fleet.demand(0);
    fleet.settle(start + Duration::from_secs(1));
    assert_eq!(fleet.servers.len(), 6);
    let later = start + Duration::from_secs(1) + SHRINK_AFTER;
    let marks = fleet.plan(later);
    assert!(
        marks
            .iter()
            .all(|m| matches!(m, Action::Mark { leaving: true, .. }))
    );
    fleet.settle(later);
    assert_eq!(fleet.servers.len(), 3);
    let cheap = fleet.servers.iter().filter(|s| s.price == Price::Cheap);
    assert!(
        cheap.count() <= 1,
        "at most half of three servers, rounded down, are cheap"
    );
}

#[test]
fn plan_replaces_reclaimed() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.demand(42);
    fleet.settle(now);
    for server in &mut fleet.servers {
        let reclaimed = server.zone == "a" && server.price == Price::Cheap;
        server.notice_ms = reclaimed.then_some(1);
    }
    fleet.cheap_refused.insert(("p".into(), "a".into()));
    let start = Action::Start {
        pool: "p".into(),
        zone: "a".into(),
        cheap: false,
    };
    assert_eq!(fleet.plan(now), vec![start]);
}

#[test]
fn plan_unmarks_needed_server() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.demand(42);
    fleet.settle(now);
    fleet.leaving.insert("s1".into());
    let unmark = mark("s1", false);
    assert_eq!(fleet.plan(now), vec![unmark]);
}
