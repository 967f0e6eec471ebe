use super::*;
use tokio::time::{timeout, Duration};

#[tokio::test]
async fn what_is_held_never_exceeds_the_budget_and_comes_back() {
    let budget = MemoryBudget::new(6);
    let left = || budget.0.left.get();
    let (mut one, mut two) = (budget.reservation(), budget.reservation());
    assert!(one.try_reserve(300_000) && two.try_reserve(200_000));
    assert!(!two.try_reserve(300_000), "half of it is for what can only be passed on");
    assert_eq!(left(), (1 << 20) - 500_000);
    assert!(two.try_reserve(100) && one.try_reserve(400_000), "less is always possible");
    let mut passing = Vec::new();
    while left() >= STREAMED_MESSAGE_BYTES {
        let mut reservation = budget.reservation();
        reservation.reserve_streaming().await;
        passing.push(reservation);
    }
    let mut waits = budget.reservation();
    assert!(timeout(Duration::from_millis(20), waits.reserve_streaming()).await.is_err(), "there is no room");
    let (freed, waited) = tokio::join!(async { drop(passing.pop()) }, async {
        waits.reserve_streaming().await;
        waits.bytes()
    });
    assert_eq!((freed, waited), ((), STREAMED_MESSAGE_BYTES));
    drop((one, two, waits, passing));
    assert_eq!(left(), 1 << 20);
}
