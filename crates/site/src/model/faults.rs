//! What goes wrong, as a schedule. A schedule may overlap itself: each fault holds for as long as any that names it
//! lasts, and factors multiply.

use serde::{Deserialize, Serialize};

use super::random::{Purpose, Stream};
use super::spec::{Checks, Site};
use super::time::{micros, seconds, Micros};

/// A kind of trouble.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Boxes take requests and answer nothing.
    Hang,
    /// Boxes answer a share of the requests by an error, at once.
    FastErrors,
    /// Clients ask `factor` times as often.
    Burst,
    /// Links between one zone and the others carry nothing.
    ZoneCut,
    /// Nodes are killed, and come back at its end.
    NodeCrash,
    /// Nodes are told to end, finish what they have, and start anew at its end.
    NodeRestart,
    /// The list is at another address from then on, and nodes are told to reload.
    ListMoved,
    /// Boxes drain, end and come back cold, one after the other.
    Release,
    /// A share of all answers never arrives.
    LostAnswers,
    /// A share of all connections breaks before the request is out.
    BreakBefore,
    /// A share of all connections breaks after it.
    BreakAfter,
    /// Boxes turn one class away.
    TurnAway,
    /// Boxes do `factor` times the work in the same time; below 1.
    Slow,
    /// Boxes' processes die, and come back cold under their names at its end.
    BoxCrash,
    /// Boxes' machines say nothing: no connection comes up.
    Silent,
    /// The box list answers nobody, and watches end.
    ListDown,
    /// The list says of boxes that they started `ms` later than they did.
    ListClock,
    /// A share of the requests comes with little time.
    Hurry,
}

impl FaultKind {
    /// All of them.
    pub const ALL: [Self; 18] = [
        Self::Hang,
        Self::FastErrors,
        Self::Burst,
        Self::ZoneCut,
        Self::NodeCrash,
        Self::NodeRestart,
        Self::ListMoved,
        Self::Release,
        Self::LostAnswers,
        Self::BreakBefore,
        Self::BreakAfter,
        Self::TurnAway,
        Self::Slow,
        Self::BoxCrash,
        Self::Silent,
        Self::ListDown,
        Self::ListClock,
        Self::Hurry,
    ];

    /// Its name in files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Hang => "hang",
            Self::FastErrors => "fast_errors",
            Self::Burst => "burst",
            Self::ZoneCut => "zone_cut",
            Self::NodeCrash => "node_crash",
            Self::NodeRestart => "node_restart",
            Self::ListMoved => "list_moved",
            Self::Release => "release",
            Self::LostAnswers => "lost_answers",
            Self::BreakBefore => "break_before",
            Self::BreakAfter => "break_after",
            Self::TurnAway => "turn_away",
            Self::Slow => "slow",
            Self::BoxCrash => "box_crash",
            Self::Silent => "silent",
            Self::ListDown => "list_down",
            Self::ListClock => "list_clock",
            Self::Hurry => "hurry",
        }
    }

    /// The fields that it takes besides its time: boxes, share, factor, class, zone, ms.
    fn takes(self) -> &'static [&'static str] {
        match self {
            Self::Hang | Self::BoxCrash | Self::Silent => &["part", "boxes"],
            Self::FastErrors => &["part", "boxes", "share"],
            Self::Burst => &["factor"],
            Self::ZoneCut => &["zone"],
            Self::NodeCrash | Self::NodeRestart => &["part"],
            Self::Release => &["part", "boxes", "step_ms"],
            Self::LostAnswers | Self::BreakBefore | Self::BreakAfter | Self::Hurry => &["share"],
            Self::TurnAway => &["part", "boxes", "class"],
            Self::Slow => &["part", "boxes", "factor"],
            Self::ListDown | Self::ListMoved => &[],
            Self::ListClock => &["part", "boxes", "ms"],
        }
    }
}

/// One trouble of a schedule.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What it is.
    pub kind: FaultKind,
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts; a release takes as long as its steps do.
    #[serde(default)]
    pub for_s: f64,
    /// Which part of the boxes or nodes is concerned, drawn by the seed; one at least.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
    /// Or which boxes, by name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub boxes: Vec<String>,
    /// Which share of requests, answers or connections.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// How many times as much.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// Which class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Which zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// By how much a clock is wrong.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ms: Option<f64>,
    /// Of a release: from one box to the next.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step_ms: Option<f64>,
}

/// How long a box of a release drains, and how long it is down.
const RELEASE: (Micros, Micros) = (2_000_000, 1_000_000);

impl Fault {
    /// A fault of a kind with nothing else said.
    pub fn new(kind: FaultKind, at_s: f64, for_s: f64) -> Self {
        Self {
            kind,
            at_s,
            for_s,
            part: None,
            boxes: Vec::new(),
            share: None,
            factor: None,
            class: None,
            zone: None,
            ms: None,
            step_ms: None,
        }
    }

    pub(super) fn check(&self, at: &str, site: &Site, c: &mut Checks) {
        let field = |name: &str| format!("{at}.{name}");
        let kind = self.kind.name();
        c.amount(field("at_s"), self.at_s, 0.0);
        if self.kind != FaultKind::Release {
            c.above(field("for_s"), self.for_s);
        }
        let given = [
            ("part", self.part.is_some()),
            ("boxes", !self.boxes.is_empty()),
            ("share", self.share.is_some()),
            ("factor", self.factor.is_some()),
            ("class", self.class.is_some()),
            ("zone", self.zone.is_some()),
            ("ms", self.ms.is_some()),
            ("step_ms", self.step_ms.is_some()),
        ];
        let takes = self.kind.takes();
        for (name, there) in given {
            let wanted = takes.contains(&name);
            c.reject_if(there && !wanted, field(name), &format!("{kind} takes none"));
            let either = name == "part" || name == "boxes";
            c.reject_if(!there && wanted && !either, field(name), &format!("{kind} needs one"));
        }
        if takes.contains(&"boxes") {
            let both = self.part.is_some() != self.boxes.is_empty();
            c.reject_if(both, at, &format!("{kind} needs one of part and boxes, and not both"));
        } else if takes.contains(&"part") {
            c.reject_if(self.part.is_none(), field("part"), &format!("{kind} needs one"));
        }
        c.fraction(field("part"), self.part.unwrap_or(0.0));
        c.fraction(field("share"), self.share.unwrap_or(0.0));
        c.above(field("factor"), self.factor.unwrap_or(1.0));
        c.above(field("step_ms"), self.step_ms.unwrap_or(1.0));
        let names = site.box_names();
        for name in &self.boxes {
            c.reject_if(!names.contains(name), field("boxes"), &format!("there is no box {name:?}"));
        }
        if let Some(class) = &self.class {
            let known = site.clients.classes.iter().any(|k| k.name == *class);
            c.reject_if(!known, field("class"), &format!("there is no class {class:?}"));
        }
        if let Some(zone) = &self.zone {
            c.reject_if(!site.zones.contains(zone), field("zone"), &format!("there is no zone {zone:?}"));
        }
    }
}

/// What a fault does while it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A box takes and answers nothing.
    Hang(usize),
    /// A box answers this share by errors.
    Errors(usize, f64),
    /// A box turns a class away.
    TurnAway(usize, usize),
    /// A box is this many times as fast.
    Slow(usize, f64),
    /// A box's process is dead; it starts cold when this ends.
    Down(usize),
    /// A box's machine says nothing.
    Silent(usize),
    /// A box is to be drained.
    Draining(usize),
    /// A node is dead; it starts when this ends.
    NodeDown(usize),
    /// A node finishes what it has; it starts anew when this ends.
    NodeEnds(usize),
    /// The list is elsewhere.
    ListMoved,
    /// Clients ask this many times as often.
    Burst(f64),
    /// A zone is cut off.
    ZoneCut(usize),
    /// This share of the answers is lost.
    Lost(f64),
    /// This share of the connections breaks before the request is out.
    BreakBefore(f64),
    /// This share of them breaks after it.
    BreakAfter(f64),
    /// The list is down.
    ListDown,
    /// The list's clock is wrong about a box.
    ListClock(usize, Micros),
    /// This share of the requests is hurried.
    Hurry(f64),
}

/// An effect that begins or ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Toggle {
    /// When.
    pub at: Micros,
    /// Begins, or ends.
    pub on: bool,
    /// What.
    pub effect: Effect,
}

/// The whole schedule in the order of time; what ends goes before what begins at the same instant. The seed draws
/// which boxes and nodes are concerned.
pub fn schedule(site: &Site, seed: u64) -> Vec<Toggle> {
    let mut random = Stream::new(seed, Purpose::Faults);
    let names = site.box_names();
    let mut all = Vec::new();
    for fault in &site.faults {
        let of_nodes = matches!(fault.kind, FaultKind::NodeCrash | FaultKind::NodeRestart);
        let bound = if of_nodes { site.nodes.count } else { names.len() };
        let count = ((fault.part.unwrap_or(0.0) * bound as f64).round() as usize).max(1);
        let drawn = random.choose(count, bound);
        let named = |b: &String| names.iter().position(|n| n == b);
        let whom = match fault.part {
            Some(_) => drawn,
            None => fault.boxes.iter().filter_map(named).collect(),
        };
        let (from, to) = (seconds(fault.at_s), seconds(fault.at_s + fault.for_s));
        let mut hold = |from, to, effect| {
            all.push(Toggle { at: from, on: true, effect });
            all.push(Toggle { at: to, on: false, effect });
        };
        let share = fault.share.unwrap_or(0.0);
        let factor = fault.factor.unwrap_or(1.0);
        let class = || site.clients.classes.iter().position(|c| Some(&c.name) == fault.class.as_ref());
        let zone = || site.zones.iter().position(|z| Some(z) == fault.zone.as_ref());
        match fault.kind {
            FaultKind::Hang => whom.iter().for_each(|b| hold(from, to, Effect::Hang(*b))),
            FaultKind::FastErrors => whom.iter().for_each(|b| hold(from, to, Effect::Errors(*b, share))),
            FaultKind::Burst => hold(from, to, Effect::Burst(factor)),
            FaultKind::ZoneCut => hold(from, to, Effect::ZoneCut(zone().unwrap_or(0))),
            FaultKind::NodeRestart => whom.iter().for_each(|n| hold(from, to, Effect::NodeEnds(*n))),
            FaultKind::ListMoved => hold(from, to, Effect::ListMoved),
            FaultKind::NodeCrash => whom.iter().for_each(|n| hold(from, to, Effect::NodeDown(*n))),
            FaultKind::Release => {
                let step = micros(fault.step_ms.unwrap_or(1.0));
                for (n, b) in (0u64..).zip(whom) {
                    let drains = from + n * step;
                    let (ends, back) = (drains + RELEASE.0, drains + RELEASE.0 + RELEASE.1);
                    hold(drains, back, Effect::Draining(b));
                    hold(ends, back, Effect::Down(b));
                }
            }
            FaultKind::LostAnswers => hold(from, to, Effect::Lost(share)),
            FaultKind::BreakBefore => hold(from, to, Effect::BreakBefore(share)),
            FaultKind::BreakAfter => hold(from, to, Effect::BreakAfter(share)),
            FaultKind::TurnAway => {
                let class = class().unwrap_or(0);
                whom.iter().for_each(|b| hold(from, to, Effect::TurnAway(*b, class)));
            }
            FaultKind::Slow => whom.iter().for_each(|b| hold(from, to, Effect::Slow(*b, factor))),
            FaultKind::BoxCrash => whom.iter().for_each(|b| hold(from, to, Effect::Down(*b))),
            FaultKind::Silent => whom.iter().for_each(|b| hold(from, to, Effect::Silent(*b))),
            FaultKind::ListDown => hold(from, to, Effect::ListDown),
            FaultKind::ListClock => {
                let off = micros(fault.ms.unwrap_or(0.0));
                whom.iter().for_each(|b| hold(from, to, Effect::ListClock(*b, off)));
            }
            FaultKind::Hurry => hold(from, to, Effect::Hurry(share)),
        }
    }
    all.sort_by_key(|t| (t.at, t.on));
    all
}

/// The effects that hold now.
#[derive(Clone, Debug, Default)]
pub struct ActiveEffects(Vec<Effect>);

impl ActiveEffects {
    /// Takes a toggle in; true where this effect held neither before nor is held by another now: it truly begins or
    /// ends. Two faults that overlap on the same box are one that lasts as long as both.
    pub fn toggle(&mut self, toggle: &Toggle) -> bool {
        if toggle.on {
            let held = self.contains(toggle.effect);
            self.0.push(toggle.effect);
            !held
        } else {
            if let Some(at) = self.0.iter().position(|e| *e == toggle.effect) {
                self.0.remove(at);
            }
            !self.contains(toggle.effect)
        }
    }

    /// Does exactly this hold?
    pub fn contains(&self, effect: Effect) -> bool {
        self.0.contains(&effect)
    }

    /// The shares of what holds, together: each takes its part of what the others leave.
    pub fn share(&self, of: impl Fn(&Effect) -> Option<f64>) -> f64 {
        1.0 - self.0.iter().filter_map(of).map(|s| 1.0 - s).product::<f64>()
    }

    /// The factors of what holds, multiplied.
    pub fn factor(&self, of: impl Fn(&Effect) -> Option<f64>) -> f64 {
        self.0.iter().filter_map(of).product()
    }

    /// What holds of one box.
    pub fn of_box(&self, app_box: usize) -> BoxFaults {
        BoxFaults {
            hung: self.contains(Effect::Hang(app_box)),
            errors: self.share(|e| match e {
                Effect::Errors(at, share) if *at == app_box => Some(*share),
                _ => None,
            }),
            slow: self.factor(|e| match e {
                Effect::Slow(at, factor) if *at == app_box => Some(*factor),
                _ => None,
            }),
            rejected_classes: self
                .0
                .iter()
                .filter_map(|e| match e {
                    Effect::TurnAway(at, class) if *at == app_box => Some(*class),
                    _ => None,
                })
                .collect(),
        }
    }

    /// By how much the list's clock is wrong about a box.
    pub fn clock_off(&self, app_box: usize) -> Option<Micros> {
        self.0.iter().find_map(|e| match e {
            Effect::ListClock(at, off) if *at == app_box => Some(*off),
            _ => None,
        })
    }

    /// The share of answers that is lost.
    pub fn lost(&self) -> f64 {
        self.share(|e| if let Effect::Lost(s) = e { Some(*s) } else { None })
    }

    /// The share of connections that breaks before the request is out.
    pub fn breaks_before(&self) -> f64 {
        self.share(|e| if let Effect::BreakBefore(s) = e { Some(*s) } else { None })
    }

    /// The share of connections that breaks after it.
    pub fn breaks_after(&self) -> f64 {
        self.share(|e| if let Effect::BreakAfter(s) = e { Some(*s) } else { None })
    }

    /// Is the way between these two zones cut?
    pub fn cuts(&self, from: usize, to: usize) -> bool {
        from != to && (self.contains(Effect::ZoneCut(from)) || self.contains(Effect::ZoneCut(to)))
    }

    /// What holds.
    pub fn iter(&self) -> impl Iterator<Item = &Effect> {
        self.0.iter()
    }
}

/// What faults make of one box.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BoxFaults {
    /// It takes and answers nothing.
    pub hung: bool,
    /// Part of the requests that it answers by errors.
    pub errors: f64,
    /// How many times as fast it is.
    pub slow: f64,
    /// Classes that it turns away.
    pub rejected_classes: Vec<usize>,
}

/// How often clients ask at each time of a schedule, and how many of them are hurried: what a driver needs ahead.
#[derive(Clone, Debug)]
pub struct Rates {
    bursts: Vec<Toggle>,
    hurries: Vec<Toggle>,
    burst_max: f64,
}

impl Rates {
    /// Those of a schedule in the order of time.
    pub fn of(toggles: &[Toggle]) -> Self {
        let of =
            |f: fn(&Effect) -> bool| toggles.iter().filter(|t| f(&t.effect)).copied().collect::<Vec<_>>();
        let mut rates = Self {
            bursts: of(|e| matches!(e, Effect::Burst(_))),
            hurries: of(|e| matches!(e, Effect::Hurry(_))),
            burst_max: 1.0,
        };
        rates.burst_max = rates.bursts.iter().map(|t| rates.burst(t.at)).fold(1.0, f64::max);
        rates
    }

    /// The highest that [`Self::burst`] gets.
    pub fn burst_max(&self) -> f64 {
        self.burst_max
    }

    /// How many times as often clients ask.
    pub fn burst(&self, at: Micros) -> f64 {
        product_at(&self.bursts, at, |e| if let Effect::Burst(factor) = e { *factor } else { 1.0 })
    }

    /// Which share of the requests is hurried.
    pub fn hurry(&self, at: Micros) -> f64 {
        1.0 - product_at(&self.hurries, at, |e| {
            if let Effect::Hurry(share) = e {
                (1.0 - share).max(1e-9)
            } else {
                1.0
            }
        })
    }
}

/// The product of what holds at a time, from toggles in the order of time.
fn product_at(toggles: &[Toggle], at: Micros, of: impl Fn(&Effect) -> f64) -> f64 {
    let passed = toggles.iter().take_while(|t| t.at <= at);
    passed.fold(1.0, |product, t| if t.on { product * of(&t.effect) } else { product / of(&t.effect) })
}

#[cfg(test)]
mod tests;
