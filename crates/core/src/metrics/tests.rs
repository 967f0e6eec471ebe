use super::*;

#[test]
fn each_request_is_counted_once_and_all_classes_are_shown_from_the_start() {
    let metrics = Metrics::new(2);
    let classes = ["look".to_string(), "pay".to_string()];
    let start = "app.passed.look:0|c\napp.passed.pay:0|c\napp.dropped.look:0|c\napp.dropped.pay:0|c\n\
         app.bad_gateway.look:0|c\napp.bad_gateway.pay:0|c\napp.upstream_tries:0|c\napp.in_progress:0|g\n\
         app.known_servers:7|g\napp.skipped_servers:2|g\n";
    assert_eq!(metrics.render(&classes, 7, 2), start);
    let mut requests: Vec<InProgress> = (0..4).map(|n| metrics.start_request(n % 2)).collect();
    requests.iter_mut().for_each(InProgress::mark_received);
    requests[0].mark_received();
    let refused = metrics.start_request(1);
    assert_eq!(metrics.in_progress(), 4, "a request marked as received twice counts once");
    refused.finish(RequestOutcome::Dropped);
    let others = metrics.clone();
    others.count_upstream_try();
    for outcome in
        [Some(RequestOutcome::Passed), Some(RequestOutcome::BadGateway), None, Some(RequestOutcome::Passed)]
    {
        match (requests.pop(), outcome) {
            (Some(request), Some(outcome)) => request.finish(outcome),
            (gone, _) => drop(gone),
        }
    }
    let by_class = |class| {
        [RequestOutcome::Passed, RequestOutcome::Dropped, RequestOutcome::BadGateway]
            .map(|e| metrics.requests_ended(class, e))
    };
    assert_eq!((by_class(0), by_class(1)), ([1, 0, 1], [1, 1, 0]), "a client that left is not counted");
    assert_eq!((metrics.in_progress(), metrics.upstream_tries()), (0, 1));
}
