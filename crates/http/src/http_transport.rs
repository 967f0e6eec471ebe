//! The platform's protocol as the core's carrier.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use magpietally_config::{ListFile, State};
use magpietally_core::{Carrier, Core, Ended, Figures, Listing, Member, Target, Unfollowed};
use magpietally_policy::{ListFailure, Listed, Outcome, ServerId};

use crate::config::Config;
use crate::discovery;
use crate::memory_budget::MemoryBudget;
use crate::message::{UpstreamRequest, UpstreamResponse};
use crate::pool::Pool;
use crate::upstream::exchange;

/// What carries HTTP for a core: its configuration, its pool, and where discovery is.
pub struct HttpTransport {
    /// The node's configuration.
    pub config: Config,
    /// Where discovery is now; a reload moves it.
    pub discovery_addr: Cell<SocketAddr>,
    /// Its connections to servers.
    pub pool: Rc<Pool>,
    /// What may be held of large messages.
    pub memory_budget: MemoryBudget,
    /// The file that the list comes from, in place of discovery.
    pub list_file: Option<ListFile>,
}

impl HttpTransport {
    /// A carrier with no connections yet.
    pub fn new(config: Config, list_file: Option<ListFile>, figures: Figures) -> Self {
        let connect = config.told.settings.limits.connect_timeout;
        let pool = Rc::new(Pool::new(config.servers_most(), config.told.keepalive, connect, figures));
        let memory_budget = MemoryBudget::new(config.memory_mb);
        let discovery_addr = Cell::new(config.discovery);
        Self { discovery_addr, config, pool, memory_budget, list_file }
    }
}

impl Carrier for HttpTransport {
    type Request = UpstreamRequest;
    type Reply = UpstreamResponse;

    async fn attempt(
        core: Rc<Core<Self>>,
        to: Target,
        request: Rc<UpstreamRequest>,
    ) -> Ended<UpstreamResponse> {
        let (may, at) = (core.clone(), core.clone());
        let server = to.server;
        let may = move || may.place_for(&to);
        exchange(&core.carrier().pool, may, move || at.place(server), (server, to.end), &request, false).await
    }

    async fn probe(core: Rc<Core<Self>>, server: ServerId) -> Outcome {
        let pool = &core.carrier().pool;
        // As long as a connection may take, and as long again for the answer.
        let end = Instant::now() + 2 * pool.connect;
        let (at, probe) = (core.clone(), UpstreamRequest::probe(core.carrier().memory_budget.reservation()));
        let place = move || at.place(server);
        exchange(pool, place.clone(), place, (server, end), &probe, true).await.outcome
    }

    async fn follow(core: Rc<Core<Self>>) -> Unfollowed {
        if let Some(file) = core.carrier().list_file.clone() {
            return follow_file(core, file).await;
        }
        let to = core.carrier().discovery_addr.get();
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
async fn follow_file(core: Rc<Core<HttpTransport>>, mut file: ListFile) -> Unfollowed {
    while let Some(applied) = file.next().await {
        let member = |b: &magpietally_config::AppBox| Member {
            name: b.name.clone(),
            dial: Some(b.address),
            zone: b.zone.clone(),
            kind: b.kind.clone(),
            cell: b.cell,
            state: match b.state {
                State::Active => Listed::Up,
                State::Draining => Listed::Draining,
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
