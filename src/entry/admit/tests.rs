//! Tests of admission: permits, queue places and refusals.

use std::time::Duration;

use super::*;

const BOUNDS: Bounds = Bounds {
    running: 1,
    waiting: 2,
    queue: QueuePolicy::Fair,
    refusal: RefusalPolicy::Early,
};

fn admission(pool: &Pool) -> Arc<Admission> {
    let admission = Arc::new(Admission::default());
    admission.refresh(pool, BOUNDS, Instant::now());
    admission
}

fn request(tenant: &Tenant, class: PriorityClass, seconds: u64) -> QueueRequest<'_> {
    QueueRequest {
        tenant,
        weight: 1.0,
        class,
        cost: 10.0,
        deadline: Instant::now() + Duration::from_secs(seconds),
    }
}

/// Starts a request and returns its task once the request waits in the queue.
async fn spawn_waiting(
    admission: &Arc<Admission>,
    pool: &Pool,
    tenant: &'static str,
) -> tokio::task::JoinHandle<Result<Permit, Refusal>> {
    let (shared, pool) = (Arc::clone(admission), pool.clone());
    let before = admission.waiting();
    let waiting = tokio::spawn(async move {
        let tenant = Tenant::from(tenant);
        shared
            .admit(&pool, request(&tenant, PriorityClass::Live, 60))
            .await
    });
    while admission.waiting() == before {
        tokio::task::yield_now().await;
    }
    waiting
}

#[tokio::test]
async fn admit_runs_next_when_permit_drops() {
    let (pool, tenant) = (Pool::from("p"), Tenant::from("t"));
    let admission = admission(&pool);
    let first = admission
        .admit(&pool, request(&tenant, PriorityClass::Live, 60))
        .await;
    let second = spawn_waiting(&admission, &pool, "t").await;
    assert_eq!(admission.running(&pool), 1);
    drop(first);
    let second = second.await.expect("no panic").expect("a permit");
    assert_eq!(admission.running(&pool), 1);
    drop(second);
    assert_eq!(admission.running(&pool), 0);
}

#[tokio::test]
async fn admit_frees_place_when_caller_cancels() {
    let (pool, tenant) = (Pool::from("p"), Tenant::from("t"));
    let admission = admission(&pool);
    let first = admission
        .admit(&pool, request(&tenant, PriorityClass::Live, 60))
        .await;
    let cancelled = spawn_waiting(&admission, &pool, "t").await;
    cancelled.abort();
    assert!(cancelled.await.is_err());
    assert_eq!(admission.waiting(), 0);
    drop(first);
    assert_eq!(admission.running(&pool), 0);
}

#[tokio::test]
async fn admit_refuses_request_that_would_be_late() {
    let (pool, tenant) = (Pool::from("p"), Tenant::from("t"));
    let admission = admission(&pool);
    let mut first = admission
        .admit(&pool, request(&tenant, PriorityClass::Live, 60))
        .await
        .expect("a permit");
    // At 0.1 tokens a second, a request of 10 tokens takes 100 s: past its deadline of 60 s.
    tokio::time::sleep(Duration::from_millis(10)).await;
    first.set_used(0.001);
    drop(first);
    let asked = Instant::now();
    let refused = admission
        .admit(&pool, request(&tenant, PriorityClass::Live, 60))
        .await;
    let refused = refused.expect_err("a refusal");
    assert_eq!(refused.kind, RefusalKind::Overloaded);
    assert_eq!(refused.run, crate::wire::Run::NotRun);
    assert!(refused.retry >= Some(30), "{refused}");
    assert!(asked.elapsed() < Duration::from_secs(5));
}

#[tokio::test]
async fn admit_displaces_flood_when_full() {
    let (pool, tenant) = (Pool::from("p"), Tenant::from("flood"));
    let admission = admission(&pool);
    let _first = admission
        .admit(&pool, request(&tenant, PriorityClass::Live, 60))
        .await;
    let _kept = spawn_waiting(&admission, &pool, "flood").await;
    let displaced = spawn_waiting(&admission, &pool, "flood").await;
    let (shared, other) = (Arc::clone(&admission), pool.clone());
    let _small = tokio::spawn(async move {
        let small = Tenant::from("small");
        shared
            .admit(&other, request(&small, PriorityClass::Live, 60))
            .await
    });
    let refused = displaced.await.expect("no panic").expect_err("a refusal");
    assert_eq!(refused.kind, RefusalKind::Overloaded);
}

#[tokio::test]
async fn admit_asks_rollout_to_yield() {
    let (pool, tenant) = (Pool::from("p"), Tenant::from("t"));
    let admission = admission(&pool);
    let rollout = admission
        .admit(&pool, request(&tenant, PriorityClass::Rollout, 60))
        .await
        .expect("a permit");
    let live = spawn_waiting(&admission, &pool, "t").await;
    rollout.preempted().await;
    drop(rollout);
    live.await.expect("no panic").expect("a permit");
}
