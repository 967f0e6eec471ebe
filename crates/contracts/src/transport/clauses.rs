//! The clauses, each a small story on new nodes.

use magpietally_transport::{Name, SendError, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::book::{broken, TAG};
use super::world::World;
use super::{name_of, Broken, Clause, Held, Rig};

/// A clause's outcome: whether it was played.
type Played = Result<bool, Broken>;
type Story<R> = fn(&mut World<'_, R>) -> Played;

pub fn play<R: Rig>(rig: &mut R) -> Result<Held, Broken> {
    let mut w = World::new(rig);
    let mut out = Held::default();
    let stories: [(Clause, Story<R>); 14] = [
        (Clause::UnknownTold, unknown),
        (Clause::BothWays, both_ways),
        (Clause::EmptyPasses, empty),
        (Clause::LargestPasses, largest),
        (Clause::OversizedRefused, oversized),
        (Clause::FullTold, full),
        (Clause::SlowAlone, slow),
        (Clause::RestartTold, restart),
        (Clause::NothingOlder, older),
        (Clause::NothingForeign, foreign),
        (Clause::StrangeDropped, strange),
        (Clause::HalfOpenNoticed, half_open),
        (Clause::BreakMended, breaks),
        (Clause::ManyPeers, many),
    ];
    for (clause, story) in stories {
        if story(&mut w)? { &mut out.held } else { &mut out.skipped }.push(clause);
    }
    let messages = [Clause::NothingAltered, Clause::NothingInvented, Clause::Calm];
    let streams = [Clause::Order, Clause::AtMostOnce, Clause::LossTold];
    out.held.extend(messages);
    if w.stream() { &mut out.held } else { &mut out.skipped }.extend(streams);
    w.begin(&[]);
    Ok(out)
}

fn unknown<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0]);
    let nobody = Name::new("nobody").expect("letters");
    let mut answer = Ok(());
    w.rig.at(0, &mut |end, _| answer = end.send(&nobody, b"is there anybody?"));
    match answer {
        Err(SendError::Unknown(name)) if name == nobody => Ok(true),
        other => broken(Clause::UnknownTold, format!("to nobody: {other:?}")),
    }
}

fn both_ways<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0, 1]);
    let most = w.promise.message_max_bytes.min(600);
    for i in 0..100 {
        for (from, to) in [(0, 1), (1, 0)] {
            // A full queue is a told drop; on this way the message simply was not sent.
            w.offer(from, to, TAG + (i * 37) % (most - TAG))?;
        }
        if i % 4 == 3 {
            w.step()?;
        }
    }
    for (from, to) in [(0, 1), (1, 0)] {
        w.accounted(from, to, false)?;
        w.heard(Clause::BothWays, from, to, 100)?;
    }
    // Whatever came twice or was made up has its time to come.
    w.settle()?;
    Ok(true)
}

fn empty<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0, 1]);
    w.heard(Clause::EmptyPasses, 0, 1, 0)?;
    w.heard(Clause::BothWays, 1, 0, 40)?;
    Ok(true)
}

fn largest<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0, 1]);
    let size = w.promise.message_max_bytes;
    w.heard(Clause::LargestPasses, 0, 1, size)?;
    w.heard(Clause::LargestPasses, 1, 0, size)?;
    Ok(true)
}

fn oversized<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0, 1]);
    w.heard(Clause::BothWays, 0, 1, 40)?;
    let most = w.promise.message_max_bytes;
    for size in [most + 1, 2 * most + 1] {
        match w.send(0, 1, size) {
            Err(SendError::TooLarge { size: s, max: m }) if s == size && m == most => {}
            // What was taken comes whole, cut or not at all: all three break the promise, a cut is the worst.
            Ok(_) => {
                w.settle()?;
                return broken(
                    Clause::OversizedRefused,
                    format!("{size} bytes were taken, {most} are carried"),
                );
            }
            Err(e) => return broken(Clause::OversizedRefused, format!("{size} bytes: {e}")),
        }
    }
    w.heard(Clause::BothWays, 0, 1, 40)?;
    w.settle()?;
    Ok(true)
}

fn full<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0]);
    let most = w.promise.queue_capacity;
    let mut taken = 0;
    // On streams the peer is not there: all wait. Datagrams may be gone at once; they may only be refused as full.
    for _ in 0..2 * most + 1 {
        match w.send(0, 1, 40) {
            Ok(_) => taken += 1,
            Err(SendError::Full { to, max: told }) if to == name_of(1) && told == most => break,
            Err(e) => return broken(Clause::FullTold, format!("after {taken} messages: {e}")),
        }
    }
    if !w.stream() {
        return Ok(true);
    }
    if taken != most {
        return broken(Clause::FullTold, format!("{taken} messages were taken, {most} may wait"));
    }
    w.start(1);
    w.accounted(0, 1, false)?;
    w.heard(Clause::FullTold, 0, 1, 40)?;
    Ok(true)
}

fn slow<R: Rig>(w: &mut World<'_, R>) -> Played {
    if !w.stream() {
        return Ok(false);
    }
    w.begin(&[0, 1, 2]);
    w.heard(Clause::BothWays, 0, 1, 40)?;
    w.stalled = Some(1);
    let bound = w.promise.queue_capacity + w.rig.under_way();
    let (mut taken, mut refused) = (0, 0);
    // Full for a while on end: whatever could move on has moved on.
    w.until(Clause::SlowAlone, "a peer that does not read was never told as full", |w, _| {
        let before = taken;
        while taken <= bound + w.book.lost(0, 1) && w.offer(0, 1, 60)? {
            taken += 1;
        }
        if taken > bound + w.book.lost(0, 1) {
            return broken(
                Clause::SlowAlone,
                format!("{taken} were taken for a peer that reads none, at most {bound}"),
            );
        }
        refused = if taken == before { refused + 1 } else { 0 };
        Ok(refused >= 20)
    })?;
    w.heard(Clause::SlowAlone, 0, 2, 40)?;
    w.heard(Clause::SlowAlone, 2, 0, 40)?;
    w.stalled = None;
    w.accounted(0, 1, true)?;
    w.heard(Clause::SlowAlone, 0, 1, 40)?;
    Ok(true)
}

fn restart<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0, 1]);
    w.heard(Clause::BothWays, 1, 0, 40)?;
    w.heard(Clause::BothWays, 0, 1, 40)?;
    for _ in 0..3 {
        // Some are still under way when their sender ends; they may come, but not once its next start was met.
        for _ in 0..5 {
            w.offer(1, 0, 50)?;
        }
        w.kill(1);
        w.start(1);
        w.heard(Clause::RestartTold, 1, 0, 40)?;
        w.heard(Clause::RestartTold, 0, 1, 40)?;
    }
    w.settle()?;
    Ok(true)
}

/// A ghost speaks until it is told as dropped; the book breaks the clause where it is heard.
fn haunted<R: Rig>(w: &mut World<'_, R>, clause: Clause, session: Session, foreign: bool) -> Played {
    let says = format!("a ghost for {clause}");
    w.book.expect_ghost(clause, says.as_bytes());
    let before = w.book.dropped(0);
    if !w.rig.ghost(&name_of(1), session, foreign, 0, says.as_bytes()) {
        return Ok(false);
    }
    w.until(clause, "what was dropped was not told", |w, step| {
        if step % 50 == 49 {
            w.rig.ghost(&name_of(1), session, foreign, 0, says.as_bytes());
        }
        Ok(w.book.dropped(0) > before)
    })?;
    w.settle()?;
    w.heard(clause, 1, 0, 40)?;
    w.heard(clause, 0, 1, 40)?;
    Ok(true)
}

fn older<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0, 1]);
    let earlier = w.session(1);
    w.kill(1);
    w.start(1);
    w.heard(Clause::BothWays, 1, 0, 40)?;
    haunted(w, Clause::NothingOlder, earlier, false)
}

fn foreign<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0, 1]);
    w.heard(Clause::BothWays, 1, 0, 40)?;
    let later = Session(w.session(1).0 + 1_000_000);
    haunted(w, Clause::NothingForeign, later, true)
}

fn strange<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0, 1]);
    w.heard(Clause::BothWays, 1, 0, 40)?;
    let mut random = Pcg64::seed_from_u64(28);
    let before = w.book.dropped(0);
    for i in 0..30 {
        let length = random.random_range(1..400);
        let mut bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
        if i % 3 == 0 {
            // A small length in front, as a frame has it, so that what follows is looked at.
            bytes.splice(0..0, (length as u32 / 2).to_be_bytes());
        }
        if !w.rig.inject(0, &bytes) {
            return Ok(false);
        }
        w.step()?;
    }
    w.until(Clause::StrangeDropped, "strange bytes were not told as dropped", |w, _| {
        Ok(w.book.dropped(0) > before)
    })?;
    w.heard(Clause::StrangeDropped, 1, 0, 40)?;
    w.heard(Clause::StrangeDropped, 0, 1, 40)?;
    Ok(true)
}

fn half_open<R: Rig>(w: &mut World<'_, R>) -> Played {
    w.begin(&[0, 1]);
    w.heard(Clause::BothWays, 0, 1, 40)?;
    w.accounted(0, 1, true)?;
    if !w.rig.silence(0, 1, true) {
        return Ok(false);
    }
    let before = w.book.lost(0, 1);
    for _ in 0..3 {
        w.offer(0, 1, 40)?;
    }
    if w.stream() {
        w.until(Clause::HalfOpenNoticed, "a peer that fell silent was not told", |w, _| {
            Ok(w.book.lost(0, 1) > before)
        })?;
    } else {
        w.settle()?;
    }
    w.rig.silence(0, 1, false);
    w.heard(Clause::HalfOpenNoticed, 0, 1, 40)?;
    w.heard(Clause::HalfOpenNoticed, 1, 0, 40)?;
    w.accounted(0, 1, true)?;
    Ok(true)
}

fn breaks<R: Rig>(w: &mut World<'_, R>) -> Played {
    if !w.stream() {
        return Ok(false);
    }
    w.begin(&[0, 1]);
    for round in 0..15 {
        for i in 0..8 {
            w.offer(0, 1, TAG + i * 40)?;
            w.offer(1, 0, TAG + i * 40)?;
        }
        for _ in 0..round % 4 {
            w.step()?;
        }
        if !w.rig.reset(0, 1) {
            return Ok(false);
        }
        w.pass(w.rig.quiet() / 4)?;
    }
    for (from, to) in [(0, 1), (1, 0)] {
        w.heard(Clause::BreakMended, from, to, 40)?;
        w.accounted(from, to, true)?;
    }
    w.settle()?;
    Ok(true)
}

fn many<R: Rig>(w: &mut World<'_, R>) -> Played {
    let nodes: Vec<usize> = (0..w.rig.nodes()).collect();
    w.begin(&nodes);
    let pairs: Vec<(usize, usize)> =
        nodes.iter().flat_map(|&a| nodes.iter().filter(move |&&b| b != a).map(move |&b| (a, b))).collect();
    for _ in 0..5 {
        for &(from, to) in &pairs {
            w.offer(from, to, 64)?;
        }
        w.step()?;
    }
    for (from, to) in pairs {
        w.accounted(from, to, false)?;
        w.heard(Clause::ManyPeers, from, to, 64)?;
    }
    Ok(true)
}
