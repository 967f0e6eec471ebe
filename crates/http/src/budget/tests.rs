use super::*;
use tokio::time::{timeout, Duration};

#[tokio::test]
async fn what_is_held_never_exceeds_the_budget_and_comes_back() {
    let budget = Budget::of(6);
    let left = || budget.0.left.get();
    let (mut one, mut two) = (budget.lease(), budget.lease());
    assert!(one.hold(300_000) && two.hold(200_000));
    assert!(!two.hold(300_000), "half of it is for what can only be passed on");
    assert_eq!(left(), (1 << 20) - 500_000);
    assert!(two.hold(100) && one.hold(400_000), "less is always possible");
    let mut passing = Vec::new();
    while left() >= PASSING {
        let mut lease = budget.lease();
        lease.pass().await;
        passing.push(lease);
    }
    let mut waits = budget.lease();
    assert!(timeout(Duration::from_millis(20), waits.pass()).await.is_err(), "there is no room");
    let (freed, waited) = tokio::join!(async { drop(passing.pop()) }, async {
        waits.pass().await;
        waits.bytes()
    });
    assert_eq!((freed, waited), ((), PASSING));
    drop((one, two, waits, passing));
    assert_eq!(left(), 1 << 20);
}
