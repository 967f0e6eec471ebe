//! One decision module for each policy version that has requests: a request is decided under one version from
//! its arrival to its end.
//!
//! The module of a new version starts with the current list and learns the servers' speeds again, as a new
//! process does. The older modules go on deciding the requests they have, and each is dropped when its last
//! request ends.

use magpietally_policy::{Action, Balancer, Event, Millis};

/// Which modules receive an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recipient {
    /// All modules: the event concerns the servers, the list or the time.
    All,
    /// The module that decides new requests.
    Newest,
    /// The module with this number, which has the request.
    Module(u64),
}

/// The modules with their numbers, the newest last.
pub(crate) struct Epochs {
    modules: Vec<(u64, Balancer)>,
    /// The version under which new requests are decided. Versions with the same settings share a module.
    epoch: u64,
}

impl Epochs {
    /// Starts with the module of the initial settings.
    pub(crate) fn new(balancer: Balancer) -> Self {
        Self { modules: vec![(0, balancer)], epoch: 0 }
    }

    /// The version under which new requests are decided.
    pub(crate) fn current(&self) -> u64 {
        self.epoch
    }

    /// The number of the module that decides new requests.
    pub(crate) fn newest_number(&self) -> u64 {
        self.modules.last().map_or(0, |(number, _)| *number)
    }

    /// The module that decides new requests.
    pub(crate) fn newest(&self) -> &Balancer {
        // There is one from the start, and the newest is never dropped.
        let (_, balancer) = self.modules.last().expect("one module at least");
        balancer
    }

    /// Decides new requests under `epoch` from now on, with the module that is already the newest.
    pub(crate) fn set_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    /// Decides new requests under `epoch` and with `balancer` from now on. It also takes over the calls to the list's
    /// source.
    pub(crate) fn add(&mut self, epoch: u64, mut balancer: Balancer) {
        balancer.continue_list_calls(self.newest());
        let number = self.newest_number() + 1;
        self.modules.push((number, balancer));
        self.epoch = epoch;
    }

    /// Drops the older modules that have no requests left.
    pub(crate) fn drop_unused(&mut self, has_requests: impl Fn(u64) -> bool) {
        let newest = self.modules.len().saturating_sub(1);
        let mut index = 0;
        self.modules.retain(|(number, _)| {
            index += 1;
            index > newest || has_requests(*number)
        });
    }

    /// Returns whether there are older modules besides the newest.
    pub(crate) fn has_several(&self) -> bool {
        self.modules.len() > 1
    }

    /// Passes an event to its recipients.
    pub(crate) fn handle(
        &mut self,
        recipient: Recipient,
        now: Millis,
        event: Event,
        actions: &mut Vec<Action>,
    ) {
        let newest = self.modules.len().saturating_sub(1);
        if newest == 0 {
            // The usual case: a single module.
            if let Some((_, balancer)) = self.modules.first_mut() {
                balancer.handle(now, event, actions);
            }
        } else {
            for (index, (number, balancer)) in self.modules.iter_mut().enumerate() {
                let receives = match recipient {
                    Recipient::All => true,
                    Recipient::Newest => index == newest,
                    Recipient::Module(of) => of == *number,
                };
                if receives {
                    let from = actions.len();
                    balancer.handle(now, event.clone(), actions);
                    if index < newest {
                        // Only the newest module subscribes to the list; its updates reach all modules.
                        let mut kept = actions.split_off(from);
                        kept.retain(|action| *action != Action::Subscribe);
                        actions.append(&mut kept);
                    }
                }
            }
        }
    }
}
