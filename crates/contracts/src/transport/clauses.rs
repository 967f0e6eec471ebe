//! The clauses, each a short scenario on newly started nodes.

use magpietally_transport::{Name, SendError, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::cluster::Cluster;
use super::sent_messages::{violation, TAG_BYTES};
use super::{node_name, CheckReport, Clause, Harness, Violation};

/// Whether the scenario ran, or the violation that it found.
type ScenarioResult = Result<bool, Violation>;
type Scenario<R> = fn(&mut Cluster<'_, R>) -> ScenarioResult;

pub fn check_clauses<R: Harness>(harness: &mut R) -> Result<CheckReport, Violation> {
    let mut cluster = Cluster::new(harness);
    let mut out = CheckReport::default();
    let scenarios: [(Clause, Scenario<R>); 14] = [
        (Clause::UnknownTold, unknown_peer),
        (Clause::BothWays, both_ways),
        (Clause::EmptyPasses, empty_message),
        (Clause::LargestPasses, largest_message),
        (Clause::OversizedRefused, oversized_message),
        (Clause::FullTold, full_queue),
        (Clause::SlowAlone, slow_peer),
        (Clause::RestartTold, peer_restart),
        (Clause::NothingOlder, older_session),
        (Clause::NothingForeign, other_fleet),
        (Clause::StrangeDropped, malformed_bytes),
        (Clause::HalfOpenNoticed, half_open_peer),
        (Clause::BreakMended, broken_connection),
        (Clause::ManyPeers, all_pairs),
    ];
    for (clause, scenario) in scenarios {
        if scenario(&mut cluster)? { &mut out.passed } else { &mut out.skipped }.push(clause);
    }
    let messages = [Clause::NothingAltered, Clause::NothingInvented, Clause::Calm];
    let streams = [Clause::Order, Clause::AtMostOnce, Clause::LossTold];
    out.passed.extend(messages);
    if cluster.is_stream() { &mut out.passed } else { &mut out.skipped }.extend(streams);
    cluster.restart_with(&[]);
    Ok(out)
}

fn unknown_peer<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0]);
    let nobody = Name::new("nobody").expect("letters");
    let mut result = Ok(());
    cluster.harness.with_node(0, &mut |transport, _| result = transport.send(&nobody, b"is there anybody?"));
    match result {
        Err(SendError::Unknown(name)) if name == nobody => Ok(true),
        other => violation(Clause::UnknownTold, format!("to nobody: {other:?}")),
    }
}

fn both_ways<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0, 1]);
    let max = cluster.capabilities.message_max_bytes.min(600);
    for i in 0..100 {
        for (from, to) in [(0, 1), (1, 0)] {
            // A full queue refuses the message; it then counts as not sent on this flow.
            cluster.try_send(from, to, TAG_BYTES + (i * 37) % (max - TAG_BYTES))?;
        }
        if i % 4 == 3 {
            cluster.step()?;
        }
    }
    for (from, to) in [(0, 1), (1, 0)] {
        cluster.expect_accounted(from, to, false)?;
        cluster.expect_delivery(Clause::BothWays, from, to, 100)?;
    }
    // Leaves time for duplicated or invented messages to arrive.
    cluster.settle()?;
    Ok(true)
}

fn empty_message<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0, 1]);
    cluster.expect_delivery(Clause::EmptyPasses, 0, 1, 0)?;
    cluster.expect_delivery(Clause::BothWays, 1, 0, 40)?;
    Ok(true)
}

fn largest_message<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0, 1]);
    let size = cluster.capabilities.message_max_bytes;
    cluster.expect_delivery(Clause::LargestPasses, 0, 1, size)?;
    cluster.expect_delivery(Clause::LargestPasses, 1, 0, size)?;
    Ok(true)
}

fn oversized_message<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0, 1]);
    cluster.expect_delivery(Clause::BothWays, 0, 1, 40)?;
    let max = cluster.capabilities.message_max_bytes;
    for size in [max + 1, 2 * max + 1] {
        match cluster.send(0, 1, size) {
            Err(SendError::TooLarge { size: s, max: m }) if s == size && m == max => {}
            // Whether an accepted message then arrives whole, truncated or not at all: each violates the
            // promise, truncation is the worst.
            Ok(_) => {
                cluster.settle()?;
                return violation(
                    Clause::OversizedRefused,
                    format!("{size} bytes were accepted, the maximum is {max}"),
                );
            }
            Err(e) => return violation(Clause::OversizedRefused, format!("{size} bytes: {e}")),
        }
    }
    cluster.expect_delivery(Clause::BothWays, 0, 1, 40)?;
    cluster.settle()?;
    Ok(true)
}

fn full_queue<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0]);
    let max = cluster.capabilities.queue_capacity;
    let mut accepted = 0;
    // On streams the peer does not run, so all messages are queued. Datagrams may leave at once, and may only
    // be refused as full.
    for _ in 0..2 * max + 1 {
        match cluster.send(0, 1, 40) {
            Ok(_) => accepted += 1,
            Err(SendError::Full { to, max: reported }) if to == node_name(1) && reported == max => break,
            Err(e) => return violation(Clause::FullTold, format!("after {accepted} messages: {e}")),
        }
    }
    if !cluster.is_stream() {
        return Ok(true);
    }
    if accepted != max {
        return violation(
            Clause::FullTold,
            format!("{accepted} messages were accepted, the queue capacity is {max}"),
        );
    }
    cluster.start(1);
    cluster.expect_accounted(0, 1, false)?;
    cluster.expect_delivery(Clause::FullTold, 0, 1, 40)?;
    Ok(true)
}

fn slow_peer<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    if !cluster.is_stream() {
        return Ok(false);
    }
    cluster.restart_with(&[0, 1, 2]);
    cluster.expect_delivery(Clause::BothWays, 0, 1, 40)?;
    cluster.stalled = Some(1);
    let bound = cluster.capabilities.queue_capacity + cluster.harness.in_flight_max();
    let (mut accepted, mut refused) = (0, 0);
    // The queue has been full for several steps in a row: whatever could be forwarded has been forwarded.
    cluster.wait_until(
        Clause::SlowAlone,
        "the queue of a peer that does not read was never reported as full",
        |cluster, _| {
            let before = accepted;
            while accepted <= bound + cluster.sent.lost_count(0, 1) && cluster.try_send(0, 1, 60)? {
                accepted += 1;
            }
            if accepted > bound + cluster.sent.lost_count(0, 1) {
                return violation(
                    Clause::SlowAlone,
                    format!("{accepted} messages accepted for a peer that does not read, maximum {bound}"),
                );
            }
            refused = if accepted == before { refused + 1 } else { 0 };
            Ok(refused >= 20)
        },
    )?;
    cluster.expect_delivery(Clause::SlowAlone, 0, 2, 40)?;
    cluster.expect_delivery(Clause::SlowAlone, 2, 0, 40)?;
    cluster.stalled = None;
    cluster.expect_accounted(0, 1, true)?;
    cluster.expect_delivery(Clause::SlowAlone, 0, 1, 40)?;
    Ok(true)
}

fn peer_restart<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0, 1]);
    cluster.expect_delivery(Clause::BothWays, 1, 0, 40)?;
    cluster.expect_delivery(Clause::BothWays, 0, 1, 40)?;
    for _ in 0..3 {
        // Some messages are still in flight when their sender stops. They may arrive, but not after its next
        // session was seen.
        for _ in 0..5 {
            cluster.try_send(1, 0, 50)?;
        }
        cluster.kill(1);
        cluster.start(1);
        cluster.expect_delivery(Clause::RestartTold, 1, 0, 40)?;
        cluster.expect_delivery(Clause::RestartTold, 0, 1, 40)?;
    }
    cluster.settle()?;
    Ok(true)
}

/// Sends messages under a peer's name until one is reported as dropped. A delivered one is reported as a
/// violation of `clause`.
fn reject_impersonator<R: Harness>(
    cluster: &mut Cluster<'_, R>,
    clause: Clause,
    session: Session,
    foreign: bool,
) -> ScenarioResult {
    let message = format!("impersonated: {clause}");
    cluster.sent.expect_rejected(clause, message.as_bytes());
    let before = cluster.sent.dropped_count(0);
    if !cluster.harness.send_as(&node_name(1), session, foreign, 0, message.as_bytes()) {
        return Ok(false);
    }
    cluster.wait_until(clause, "the dropped message was not reported", |cluster, step| {
        if step % 50 == 49 {
            cluster.harness.send_as(&node_name(1), session, foreign, 0, message.as_bytes());
        }
        Ok(cluster.sent.dropped_count(0) > before)
    })?;
    cluster.settle()?;
    cluster.expect_delivery(clause, 1, 0, 40)?;
    cluster.expect_delivery(clause, 0, 1, 40)?;
    Ok(true)
}

fn older_session<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0, 1]);
    let earlier = cluster.session(1);
    cluster.kill(1);
    cluster.start(1);
    cluster.expect_delivery(Clause::BothWays, 1, 0, 40)?;
    reject_impersonator(cluster, Clause::NothingOlder, earlier, false)
}

fn other_fleet<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0, 1]);
    cluster.expect_delivery(Clause::BothWays, 1, 0, 40)?;
    let later = Session(cluster.session(1).0 + 1_000_000);
    reject_impersonator(cluster, Clause::NothingForeign, later, true)
}

fn malformed_bytes<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0, 1]);
    cluster.expect_delivery(Clause::BothWays, 1, 0, 40)?;
    let mut random = Pcg64::seed_from_u64(28);
    let before = cluster.sent.dropped_count(0);
    for i in 0..30 {
        let length = random.random_range(1..400);
        let mut bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
        if i % 3 == 0 {
            // Starts with a small length like that of a frame, so that the bytes after it are parsed.
            bytes.splice(0..0, (length as u32 / 2).to_be_bytes());
        }
        if !cluster.harness.inject_bytes(0, &bytes) {
            return Ok(false);
        }
        cluster.step()?;
    }
    cluster.wait_until(
        Clause::StrangeDropped,
        "malformed bytes were not reported as dropped",
        |cluster, _| Ok(cluster.sent.dropped_count(0) > before),
    )?;
    cluster.expect_delivery(Clause::StrangeDropped, 1, 0, 40)?;
    cluster.expect_delivery(Clause::StrangeDropped, 0, 1, 40)?;
    Ok(true)
}

fn half_open_peer<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    cluster.restart_with(&[0, 1]);
    cluster.expect_delivery(Clause::BothWays, 0, 1, 40)?;
    cluster.expect_accounted(0, 1, true)?;
    if !cluster.harness.set_blackhole(0, 1, true) {
        return Ok(false);
    }
    let before = cluster.sent.lost_count(0, 1);
    for _ in 0..3 {
        cluster.try_send(0, 1, 40)?;
    }
    if cluster.is_stream() {
        cluster.wait_until(Clause::HalfOpenNoticed, "a silent peer was not detected", |cluster, _| {
            Ok(cluster.sent.lost_count(0, 1) > before)
        })?;
    } else {
        cluster.settle()?;
    }
    cluster.harness.set_blackhole(0, 1, false);
    cluster.expect_delivery(Clause::HalfOpenNoticed, 0, 1, 40)?;
    cluster.expect_delivery(Clause::HalfOpenNoticed, 1, 0, 40)?;
    cluster.expect_accounted(0, 1, true)?;
    Ok(true)
}

fn broken_connection<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    if !cluster.is_stream() {
        return Ok(false);
    }
    cluster.restart_with(&[0, 1]);
    for round in 0..15 {
        for i in 0..8 {
            cluster.try_send(0, 1, TAG_BYTES + i * 40)?;
            cluster.try_send(1, 0, TAG_BYTES + i * 40)?;
        }
        for _ in 0..round % 4 {
            cluster.step()?;
        }
        if !cluster.harness.reset_connections(0, 1) {
            return Ok(false);
        }
        cluster.advance(cluster.harness.settle_time() / 4)?;
    }
    for (from, to) in [(0, 1), (1, 0)] {
        cluster.expect_delivery(Clause::BreakMended, from, to, 40)?;
        cluster.expect_accounted(from, to, true)?;
    }
    cluster.settle()?;
    Ok(true)
}

fn all_pairs<R: Harness>(cluster: &mut Cluster<'_, R>) -> ScenarioResult {
    let nodes: Vec<usize> = (0..cluster.harness.node_count()).collect();
    cluster.restart_with(&nodes);
    let pairs: Vec<(usize, usize)> =
        nodes.iter().flat_map(|&a| nodes.iter().filter(move |&&b| b != a).map(move |&b| (a, b))).collect();
    for _ in 0..5 {
        for &(from, to) in &pairs {
            cluster.try_send(from, to, 64)?;
        }
        cluster.step()?;
    }
    for (from, to) in pairs {
        cluster.expect_accounted(from, to, false)?;
        cluster.expect_delivery(Clause::ManyPeers, from, to, 64)?;
    }
    Ok(true)
}
