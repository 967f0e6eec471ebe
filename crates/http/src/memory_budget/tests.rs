use super::*;
use tokio::time::{timeout, Duration};

#[tokio::test]
async fn reservations_stay_within_the_budget_and_are_released() {
    let budget = MemoryBudget::new(6);
    let free = || budget.0.free.get();
    let (mut one, mut two) = (budget.reservation(), budget.reservation());
    assert!(one.try_reserve(300_000) && two.try_reserve(200_000));
    assert!(!two.try_reserve(300_000), "half of the budget is for messages that must be streamed");
    assert_eq!(free(), (1 << 20) - 500_000);
    assert!(two.try_reserve(100) && one.try_reserve(400_000), "a smaller reservation always succeeds");
    let mut streamed = Vec::new();
    while free() >= STREAMED_MESSAGE_BYTES {
        let mut reservation = budget.reservation();
        reservation.reserve_streaming().await;
        streamed.push(reservation);
    }
    let mut waiting = budget.reservation();
    assert!(
        timeout(Duration::from_millis(20), waiting.reserve_streaming()).await.is_err(),
        "the budget is exhausted"
    );
    let (dropped, reserved) = tokio::join!(async { drop(streamed.pop()) }, async {
        waiting.reserve_streaming().await;
        waiting.bytes()
    });
    assert_eq!((dropped, reserved), ((), STREAMED_MESSAGE_BYTES));
    drop((one, two, waiting, streamed));
    assert_eq!(free(), 1 << 20);
}
