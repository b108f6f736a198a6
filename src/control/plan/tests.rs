//! Plans over small fleets, without clocks or sockets.

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
struct World {
    servers: Vec<BackendServer>,
    leaving: BTreeSet<ServerId>,
    drained: BTreeSet<ServerId>,
    lacking: BTreeSet<(Pool, Zone)>,
    demand: BTreeMap<Pool, u64>,
    memory: PlanMemory,
    sequence: u32,
}

impl World {
    fn plan(&mut self, now: Instant) -> Vec<Action> {
        let manifest = Manifest::parse(MANIFEST).expect("a manifest");
        let inputs = Inputs {
            manifest: &manifest,
            servers: &self.servers,
            unlisted: &[],
            leaving: &self.leaving,
            drained: &self.drained,
            lacking: &self.lacking,
            demand: &self.demand,
        };
        plan(&inputs, &mut self.memory, now)
    }

    /// Carries a plan out as a platform with enough of everything would.
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

    fn settle(&mut self, now: Instant) {
        for _ in 0..10 {
            let actions = self.plan(now);
            if actions.is_empty() {
                return;
            }
            self.apply(&actions);
            self.drained = self.leaving.clone();
        }
        panic!("the plan does not settle");
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
    let (mut world, now) = (World::default(), Instant::now());
    world.demand(42);
    world.settle(now);
    assert_eq!(world.servers.len(), 6);
    for zone in ["a", "b", "c"] {
        let count = world.servers.iter().filter(|s| s.zone == zone).count();
        assert_eq!(count, 2, "{zone}");
        // Half of six may be cheap: one zone's reclaim takes one of them.
        assert_eq!(world.cheap_in(zone), 1, "{zone}");
    }
}

#[test]
fn plan_holds_size() {
    let (mut world, start) = (World::default(), Instant::now());
    let mut orders = 0;
    // Demand that swings every second between one busy pool and an idle one.
    for second in 0..300 {
        world.demand(if second % 2 == 0 { 42 } else { 0 });
        let actions = world.plan(start + Duration::from_secs(second));
        orders += actions.len();
        world.apply(&actions);
    }
    assert_eq!((orders, world.servers.len()), (6, 6));
}

#[test]
fn plan_shrinks_late() {
    let (mut world, start) = (World::default(), Instant::now());
    world.demand(42);
    world.settle(start);
    world.demand(0);
    world.settle(start + Duration::from_secs(1));
    assert_eq!(world.servers.len(), 6);
    let later = start + Duration::from_secs(1) + SHRINK_AFTER;
    let marks = world.plan(later);
    assert!(
        marks
            .iter()
            .all(|m| matches!(m, Action::Mark { leaving: true, .. }))
    );
    world.settle(later);
    assert_eq!(world.servers.len(), 3);
    let cheap = world.servers.iter().filter(|s| s.price == Price::Cheap);
    assert!(cheap.count() <= 1, "half of three, rounded down");
}

#[test]
fn plan_replaces_reclaimed() {
    let (mut world, now) = (World::default(), Instant::now());
    world.demand(42);
    world.settle(now);
    for server in &mut world.servers {
        let reclaimed = server.zone == "a" && server.price == Price::Cheap;
        server.notice_ms = reclaimed.then_some(1);
    }
    world.lacking.insert(("p".into(), "a".into()));
    let start = Action::Start {
        pool: "p".into(),
        zone: "a".into(),
        cheap: false,
    };
    assert_eq!(world.plan(now), vec![start]);
}

#[test]
fn plan_keeps_marked() {
    let (mut world, now) = (World::default(), Instant::now());
    world.demand(42);
    world.settle(now);
    world.leaving.insert("s1".into());
    let keep = mark("s1", false);
    assert_eq!(world.plan(now), vec![keep]);
}
