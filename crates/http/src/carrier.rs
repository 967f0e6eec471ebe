//! The platform's protocol as the core's carrier.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use magpietally_config::{ListFile, State};
use magpietally_core::{Carrier, Core, Ended, Figures, Listing, Member, Target, Unfollowed};
use magpietally_policy::{ListFailure, ListedState, Outcome, ServerId};

use crate::budget::Budget;
use crate::config::Config;
use crate::discovery;
use crate::message::{Message, Reply};
use crate::pool::Pool;
use crate::upstream::exchange;

/// What carries HTTP for a core: its configuration, its pool, and where discovery is.
pub struct Http {
    /// The node's configuration.
    pub config: Config,
    /// Where discovery is now; a reload moves it.
    pub discovery: Cell<SocketAddr>,
    /// Its connections to servers.
    pub pool: Rc<Pool>,
    /// What may be held of large messages.
    pub budget: Budget,
    /// The file that the list comes from, in place of discovery.
    pub boxes: Option<ListFile>,
}

impl Http {
    /// A carrier with no connections yet.
    pub fn new(config: Config, boxes: Option<ListFile>, figures: Figures) -> Self {
        let connect = config.told.settings.limits.connect_timeout;
        let pool = Rc::new(Pool::new(config.servers_most(), config.told.keepalive, connect, figures));
        let budget = Budget::of(config.memory_mb);
        let discovery = Cell::new(config.discovery);
        Self { discovery, config, pool, budget, boxes }
    }
}

impl Carrier for Http {
    type Request = Message;
    type Reply = Reply;

    async fn attempt(core: Rc<Core<Self>>, to: Target, request: Rc<Message>) -> Ended<Reply> {
        let (may, at) = (core.clone(), core.clone());
        let server = to.server;
        let may = move || may.place_for(&to);
        exchange(&core.carrier().pool, may, move || at.place(server), (server, to.end), &request, false).await
    }

    async fn probe(core: Rc<Core<Self>>, server: ServerId) -> Outcome {
        let pool = &core.carrier().pool;
        // As long as a connection may take, and as long again for the answer.
        let end = Instant::now() + 2 * pool.connect;
        let (at, probe) = (core.clone(), Message::probe(core.carrier().budget.lease()));
        let place = move || at.place(server);
        exchange(pool, place.clone(), place, (server, end), &probe, true).await.outcome
    }

    async fn follow(core: Rc<Core<Self>>) -> Unfollowed {
        if let Some(file) = core.carrier().boxes.clone() {
            return follow_file(core, file).await;
        }
        let to = core.carrier().discovery.get();
        discovery::follow(core, to).await
    }

    fn forget(&self, server: ServerId) {
        self.pool.forget(server);
    }

    fn connections(&self) -> usize {
        self.pool.held()
    }
}

/// Hands each list of a file on, whole: the policy sees what is not in it any more as gone.
async fn follow_file(core: Rc<Core<Http>>, mut file: ListFile) -> Unfollowed {
    while let Some(applied) = file.next().await {
        let member = |b: &magpietally_config::AppBox| Member {
            name: b.name.clone(),
            dial: Some(b.address),
            zone: b.zone.clone(),
            kind: b.kind.clone(),
            cell: b.cell,
            state: match b.state {
                State::Active => ListedState::Up,
                State::Draining => ListedState::Draining,
            },
            weight: b.weight,
            born_ms: b.started_ms,
        };
        let members = applied.list.boxes.iter().map(member).collect();
        core.listed(Listing { version: applied.version, whole: true, members });
    }
    let words = "nobody looks at the list's file any more".to_string();
    Unfollowed { failure: ListFailure::Broken, words }
}
