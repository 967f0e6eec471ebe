use super::*;

#[test]
fn an_id_that_is_open_at_one_worker_is_open_at_all_workers() {
    let ids = OpenIds::default();
    let opened: usize = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..4)
            .map(|_| {
                let ids = ids.clone();
                scope.spawn(move || (0..1000).filter(|n| ids.open(&format!("txn-{n}"))).count())
            })
            .collect();
        workers.into_iter().map(|w| w.join().expect("no panic")).sum()
    });
    let open = || ids.0.shards.iter().map(|shard| shard.lock().expect("no thread panicked").len()).sum();
    assert_eq!((opened, open()), (1000, 1000usize), "each id was opened once");
    (0..1000).for_each(|n| ids.close(&format!("txn-{n}")));
    assert!(open() == 0 && ids.open("txn-1"));
}
