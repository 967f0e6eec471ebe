use super::*;
use magpietally_transport::Name;

const S: Duration = Duration::from_secs(1);

fn id(port: u16, generation: u32) -> NodeId {
    let addr = SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, port);
    NodeId { addr, name: Name::new("a").expect("a literal name"), generation }
}

/// A live node. Its clock counts from its own start.
struct LiveNode {
    id: NodeId,
    detector: NameConflictDetector,
    /// How long it had been running when the second of a pair started.
    head_start: Duration,
}

impl LiveNode {
    fn new(id: NodeId, nonce: u64, head_start: Duration) -> Self {
        let mut detector = NameConflictDetector::new(nonce);
        detector.next_round(Duration::ZERO, std::iter::empty());
        Self { id, detector, head_start }
    }
}

/// Two live nodes under one name.
struct Pair {
    nodes: [LiveNode; 2],
    /// The time since the start of the second.
    elapsed: Duration,
}

impl Pair {
    /// The second node starts when the first one has been running for `gap`.
    fn new(first: NodeId, second: NodeId, gap: Duration) -> Self {
        let nodes = [LiveNode::new(first, 1, gap), LiveNode::new(second, 2, Duration::ZERO)];
        Self { nodes, elapsed: Duration::ZERO }
    }

    /// Runs one round of both nodes; `known_to` says whose view lists the other one, `answers` whose responses
    /// arrive. Returns which of them has to stop.
    fn round(&mut self, known_to: [bool; 2], answers: [bool; 2]) -> [bool; 2] {
        self.elapsed += ROUND_INTERVAL;
        let [first, second] = &mut self.nodes;
        ask(first, second, self.elapsed, known_to[0], answers[1]);
        ask(second, first, self.elapsed, known_to[1], answers[0]);
        [0, 1].map(|i| {
            let LiveNode { id, detector, head_start } = &self.nodes[i];
            detector.live_first(*head_start + self.elapsed, id).is_some()
        })
    }

    /// Returns which nodes have to stop after a while, and after which time the first of them had to.
    fn run(&mut self, known_to: [bool; 2], answers: [bool; 2]) -> ([bool; 2], Duration) {
        for _ in 0..40 {
            let stops = self.round(known_to, answers);
            if stops.contains(&true) {
                return (stops, self.elapsed);
            }
        }
        ([false; 2], self.elapsed)
    }
}

/// Runs a round of `asking`, whose view lists `asked` if it is `known`; a response arrives if `asked` `answers`.
fn ask(asking: &mut LiveNode, asked: &mut LiveNode, elapsed: Duration, known: bool, answers: bool) {
    let now = asking.head_start + elapsed;
    let listed = known.then(|| asked.id.clone());
    if asking.detector.next_round(now, listed.into_iter()).targets.is_empty() {
        return;
    }
    let query = asking.detector.query(now, &asking.id);
    let response = asked.detector.on_query(asked.head_start + elapsed, &asked.id, &query);
    if let Some(response) = response.filter(|_| answers) {
        asking.detector.on_response(now, &asking.id, &response);
    }
}

#[test]
fn the_later_of_two_live_nodes_stops_whichever_knows_of_the_other_and_whatever_the_clock_said() {
    let known_to = [[true, true], [true, false], [false, true]];
    let generations = [(1000, 2000), (2000, 1000), (1000, 1000)];
    let gaps = [Duration::from_millis(10), S * 30];
    let cases = known_to.into_iter().flat_map(|k| generations.map(|g| gaps.map(|gap| (k, g, gap)))).flatten();
    for (known_to, generations, gap) in cases {
        let (first, second) = (id(2, generations.0), id(1, generations.1));
        let mut pair = Pair::new(first, second, gap);
        let (stops, after) = pair.run(known_to, [true, true]);
        assert_eq!(stops, [false, true], "known to {known_to:?}, generations {generations:?}, {gap:?} apart");
        assert!(after <= LIVE_AFTER + 2 * ROUND_INTERVAL, "stopped only after {after:?}");
    }
}

#[test]
fn of_two_that_started_together_exactly_one_stops() {
    for ports in [(1, 2), (2, 1)] {
        let (mut pair, known_to) = (Pair::new(id(ports.0, 7), id(ports.1, 7), Duration::ZERO), [true, true]);
        let (stops, _) = pair.run(known_to, [true, true]);
        assert_eq!(stops, [ports.0 > ports.1, ports.1 > ports.0]);
    }
}

#[test]
fn an_entry_that_never_responds_is_no_conflict() {
    let (mut pair, known_to) = (Pair::new(id(1, 1000), id(2, 2000), S * 30), [false, true]);
    assert_eq!(pair.run(known_to, [false, true]).0, [false, false]);
}

#[test]
fn a_node_that_responds_only_until_it_exits_is_no_conflict() {
    let (mut pair, known_to) = (Pair::new(id(1, 1000), id(2, 2000), S * 30), [false, true]);
    for _ in 0..4 {
        assert_eq!(pair.round(known_to, [true, true]), [false, false]);
    }
    assert_eq!(pair.run(known_to, [false, true]).0, [false, false]);
}

/// Responses that come again, late, or to a query of an earlier start of this node prove nothing.
#[test]
fn a_response_to_an_old_query_is_ignored() {
    let (me, other) = (id(2, 2000), id(1, 1000));
    let mut detector = NameConflictDetector::new(5);
    let listed = || std::iter::once(other.clone());
    detector.next_round(S, listed());
    let query = detector.query(S, &me);
    let response = |nonce| NameResponse {
        from: other.clone(),
        nonce,
        sent_ms: query.sent_ms,
        uptime_ms: 60_000,
        listener: None,
    };
    for tenth in 0..200 {
        let now = S * 3 + S * tenth / 10;
        detector.next_round(now, listed());
        detector.on_response(now, &me, &response(5));
        detector.on_response(now, &me, &NameResponse { sent_ms: millis(now), ..response(4) });
        assert_eq!(detector.live_first(now, &me), None, "at {now:?}");
    }
}

/// A node that answers pings alone is reached through others only, or does not know the name query.
#[test]
fn a_node_that_answers_pings_alone_is_ordered_by_its_identity() {
    for (other, stops) in [(id(1, 1000), true), (id(1, 3000), false)] {
        let me = id(2, 2000);
        let mut detector = NameConflictDetector::new(5);
        let mut stopped_after = None;
        for half_second in 0..40 {
            let now = ROUND_INTERVAL * half_second;
            let round = detector.next_round(now, std::iter::once(other.clone()));
            detector.on_ack(now, &other, round.number);
            if stopped_after.is_none() && detector.live_first(now, &me).is_some() {
                stopped_after = Some(now);
            }
        }
        assert_eq!(stopped_after, stops.then_some(IDENTITY_ORDER_AFTER), "{other}");
    }
}

#[test]
fn acks_of_earlier_rounds_or_other_identities_prove_nothing() {
    let (me, other) = (id(2, 2000), id(1, 1000));
    let mut detector = NameConflictDetector::new(5);
    for half_second in 0..40 {
        let now = ROUND_INTERVAL * half_second;
        let round = detector.next_round(now, std::iter::once(other.clone()));
        detector.on_ack(now, &other, round.number.wrapping_sub(2));
        detector.on_ack(now, &id(1, 999), round.number);
        assert_eq!(detector.live_first(now, &me), None);
    }
}

#[test]
fn the_number_of_tracked_starts_is_bounded_and_old_ones_are_forgotten() {
    let me = id(2, 2000);
    let mut detector = NameConflictDetector::new(5);
    let listed = (10..100).map(|port| id(port, 1));
    assert_eq!(detector.next_round(S, listed).targets.len(), OTHER_STARTS_MAX);
    let query = NameQuery { from: id(500, 1), nonce: 9, sent_ms: 4 };
    assert!(detector.on_query(S, &me, &query).is_some(), "a node beyond the bound is answered");
    let round = detector.next_round(S * 2 + FORGET_AFTER, std::iter::empty());
    assert_eq!(round.targets, []);
}

#[test]
fn a_query_under_another_name_is_not_answered() {
    let me = id(2, 2000);
    let mut detector = NameConflictDetector::new(5);
    let mut other = id(1, 1000);
    other.name = Name::new("b").expect("a literal name");
    assert_eq!(detector.on_query(S, &me, &NameQuery { from: other, nonce: 9, sent_ms: 4 }), None);
    assert_eq!(detector.on_query(S, &me, &NameQuery { from: me.clone(), nonce: 9, sent_ms: 4 }), None);
}

#[test]
fn processes_that_share_the_listening_socket_are_no_conflict() {
    let shared = ListenerId { boot: 1, inode: 2 };
    let cases = [
        (Some(shared), Some(shared), [false, false]),
        (Some(shared), Some(ListenerId { boot: 3, ..shared }), [false, true]),
        (Some(shared), Some(ListenerId { inode: 3, ..shared }), [false, true]),
        (Some(shared), None, [false, true]),
        (None, Some(shared), [false, true]),
        (None, None, [false, true]),
    ];
    for (first, second, expected) in cases {
        let (mut pair, known_to) = (Pair::new(id(1, 1000), id(2, 2000), S * 30), [true, true]);
        (pair.nodes[0].detector.listener, pair.nodes[1].detector.listener) = (first, second);
        assert_eq!(pair.run(known_to, [true, true]).0, expected, "{first:?} and {second:?}");
    }
}
