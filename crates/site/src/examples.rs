//! Sites embedded in the program, so that it can be demonstrated without any file.

use crate::model::faults::{Fault, FaultKind};
use crate::model::spec::Site;

/// Embedded site files by name.
const SITES: [(&str, &str); 2] =
    [("club", include_str!("../sites/club.toml")), ("demo", include_str!("../sites/demo.toml"))];

/// Text of an embedded site file.
pub fn text(name: &str) -> Option<&'static str> {
    SITES.iter().find(|(n, _)| *n == name).map(|(_, text)| *text)
}

/// Returns an embedded site. `calm` is `club` without faults; the name of a fault gives `club` with only that
/// fault, ten seconds after the start.
pub fn site(name: &str) -> Option<Site> {
    if let Some(text) = text(name) {
        return Site::parse(text).ok();
    }
    let mut club = Site::parse(text("club")?).ok()?;
    if name == "calm" {
        return Some(club);
    }
    let kind = FaultKind::ALL.into_iter().find(|k| k.name() == name)?;
    club.name = name.to_string();
    club.faults = vec![single(kind)];
    Some(club)
}

/// One fault of a kind, as severe as on the worst days on record.
pub fn single(kind: FaultKind) -> Fault {
    let mut fault = Fault::new(kind, 10.0, 12.0);
    match kind {
        FaultKind::Hang | FaultKind::Silent => fault.part = Some(0.15),
        FaultKind::FastErrors => (fault.part, fault.share) = (Some(0.2), Some(0.7)),
        FaultKind::Burst => (fault.for_s, fault.factor) = (6.0, Some(2.2)),
        FaultKind::ZoneCut => fault.zone = Some("johar".into()),
        FaultKind::NodeCrash | FaultKind::NodeRestart => (fault.for_s, fault.part) = (6.0, Some(0.34)),
        FaultKind::Release => (fault.part, fault.step_ms) = (Some(0.5), Some(1500.0)),
        FaultKind::LostAnswers => fault.share = Some(0.2),
        FaultKind::BreakBefore => fault.share = Some(0.05),
        FaultKind::BreakAfter => fault.share = Some(0.05),
        FaultKind::TurnAway => (fault.part, fault.class) = (Some(0.35), Some("lookup".into())),
        FaultKind::Slow => (fault.part, fault.factor) = (Some(0.25), Some(0.3)),
        FaultKind::BoxCrash => (fault.for_s, fault.part) = (4.0, Some(0.3)),
        FaultKind::ListDown | FaultKind::ListMoved => {}
        FaultKind::ListClock => (fault.part, fault.ms) = (Some(0.3), Some(5000.0)),
        FaultKind::Hurry => fault.share = Some(0.25),
    }
    fault
}

/// All names that [`site`] accepts.
pub fn names() -> Vec<&'static str> {
    ["calm", "club", "demo"].into_iter().chain(FaultKind::ALL.iter().map(|k| k.name())).collect()
}
