//! One decision module for each version of the policy that has requests: a request is decided under one version from its
//! arrival to its end.
//!
//! A new version's module begins with the list as it stands and learns the servers' paces anew, as a new process does. The
//! older ones go on for the requests that they have, and are dropped with the last of them.

use magpietally_policy::{Action, Balancer, Event, Millis};

/// Which module an event is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum For {
    /// All of them: what concerns the servers, the list or the time.
    All,
    /// The one that decides new requests.
    Newest,
    /// The one of this number, which has the request.
    Module(u64),
}

/// The modules by number, the newest last.
pub(crate) struct Epochs {
    modules: Vec<(u64, Balancer)>,
    /// The version that new requests are decided under. Several may have one module, where their settings are the same.
    epoch: u64,
    /// The newest has not asked for the list's changes yet, and a call is out that brings them.
    follows: bool,
}

impl Epochs {
    /// The module of the settings at the start.
    pub(crate) fn new(balancer: Balancer) -> Self {
        Self { modules: vec![(0, balancer)], epoch: 0, follows: false }
    }

    /// The version that new requests are decided under.
    pub(crate) fn current(&self) -> u64 {
        self.epoch
    }

    /// The number of the module that decides new requests.
    pub(crate) fn module(&self) -> u64 {
        self.modules.last().map_or(0, |(number, _)| *number)
    }

    /// The module of new requests.
    pub(crate) fn newest(&self) -> &Balancer {
        // There is one from the start on, and the newest is never dropped.
        let (_, balancer) = self.modules.last().expect("one module at least");
        balancer
    }

    /// New requests are decided under `epoch` from now on, by the module that decides them already.
    pub(crate) fn rename(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    /// New requests are decided under `epoch` and by `balancer` from now on; `called` says that a call to the list's source
    /// is out.
    pub(crate) fn begin(&mut self, epoch: u64, balancer: Balancer, called: bool) {
        let number = self.module() + 1;
        self.modules.push((number, balancer));
        self.epoch = epoch;
        self.follows = called;
    }

    /// Drops the older modules that have no request left.
    pub(crate) fn end(&mut self, has_requests: impl Fn(u64) -> bool) {
        let newest = self.modules.len().saturating_sub(1);
        let mut at = 0;
        self.modules.retain(|(number, _)| {
            at += 1;
            at > newest || has_requests(*number)
        });
    }

    /// Are there older ones?
    pub(crate) fn several(&self) -> bool {
        self.modules.len() > 1
    }

    /// Hands an event to those that it is for.
    pub(crate) fn handle(&mut self, to: For, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let newest = self.modules.len().saturating_sub(1);
        if newest == 0 {
            // Nearly always there is one.
            if let Some((_, balancer)) = self.modules.first_mut() {
                balancer.handle(now, event, actions);
            }
        } else {
            for (at, (number, balancer)) in self.modules.iter_mut().enumerate() {
                let wanted = match to {
                    For::All => true,
                    For::Newest => at == newest,
                    For::Module(of) => of == *number,
                };
                if wanted {
                    let from = actions.len();
                    balancer.handle(now, event.clone(), actions);
                    if at < newest {
                        // The list is followed for the newest, and told to all.
                        let mut kept = actions.split_off(from);
                        kept.retain(|action| *action != Action::Subscribe);
                        actions.append(&mut kept);
                    }
                }
            }
        }
        if self.follows {
            if let Some(first) = actions.iter().position(|action| *action == Action::Subscribe) {
                self.follows = false;
                actions.remove(first);
            }
        }
    }
}
