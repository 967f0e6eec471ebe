use super::*;

#[test]
fn each_request_has_one_end_and_all_classes_are_shown_from_the_start() {
    let figures = Metrics::new(2);
    let classes = ["look".to_string(), "pay".to_string()];
    let start = "app.passed.look:0|c\napp.passed.pay:0|c\napp.dropped.look:0|c\napp.dropped.pay:0|c\n\
         app.bad_gateway.look:0|c\napp.bad_gateway.pay:0|c\napp.upstream_tries:0|c\napp.in_progress:0|g\n\
         app.known_servers:7|g\napp.skipped_servers:2|g\n";
    assert_eq!(figures.render(&classes, 7, 2), start);
    let mut requests: Vec<InProgress> = (0..4).map(|n| figures.start_request(n % 2)).collect();
    requests.iter_mut().for_each(InProgress::mark_received);
    requests[0].mark_received();
    let refused = figures.start_request(1);
    assert_eq!(figures.in_progress(), 4, "what is taken twice is there once");
    refused.finish(RequestOutcome::Dropped);
    let others = figures.clone();
    others.count_upstream_try();
    for end in
        [Some(RequestOutcome::Passed), Some(RequestOutcome::BadGateway), None, Some(RequestOutcome::Passed)]
    {
        match (requests.pop(), end) {
            (Some(request), Some(end)) => request.finish(end),
            (gone, _) => drop(gone),
        }
    }
    let by_class = |class| {
        [RequestOutcome::Passed, RequestOutcome::Dropped, RequestOutcome::BadGateway]
            .map(|e| figures.requests_ended(class, e))
    };
    assert_eq!((by_class(0), by_class(1)), ([1, 0, 1], [1, 1, 0]), "one that left counts as nothing");
    assert_eq!((figures.in_progress(), figures.upstream_tries()), (0, 1));
}
