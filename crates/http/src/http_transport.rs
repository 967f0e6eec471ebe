//! HTTP as the transport of the core.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use magpietally_config::{ServerListFile, ServerState};
use magpietally_core::{
    AttemptResult, Core, ListStreamEnd, ListedServer, Metrics, ServerListing, Target, UpstreamTransport,
};
use magpietally_policy::{ListFailure, ListedState, Outcome, ServerId};

use crate::body::UploadStates;
use crate::config::Config;
use crate::discovery;
use crate::memory_budget::MemoryBudget;
use crate::message::{UpstreamRequest, UpstreamResponse};
use crate::pool::{Pool, PoolLimits};
use crate::upstream::{exchange, AttemptStep, AttemptTimes};

/// What the core needs to send requests over HTTP: configuration, connection pool and the source of the
/// server list.
pub struct HttpTransport {
    /// The node's configuration.
    pub config: Config,
    /// The address of discovery; a reload changes it.
    pub discovery_addr: Cell<SocketAddr>,
    /// The connections to servers.
    pub pool: Rc<Pool>,
    /// The memory budget for requests.
    pub request_memory: MemoryBudget,
    /// The number of connections of clients, for the log.
    pub client_connections: Cell<usize>,
    /// The uploads that have no response yet, for the log.
    pub uploads: UploadStates,
    /// The file with the server list, if it replaces discovery.
    pub list_file: Option<ServerListFile>,
}

impl HttpTransport {
    /// A transport without connections.
    pub fn new(config: Config, list_file: Option<ServerListFile>, figures: Metrics) -> Self {
        let connect = config.received.settings.limits.connect_timeout;
        let limits =
            PoolLimits { max_open: config.max_server_connections(), read_max_bytes: config.read_max_bytes() };
        let response_memory = MemoryBudget::new(config.memory_mb);
        let pool = Rc::new(Pool::new(limits, config.received.keepalive, connect, response_memory, figures));
        let request_memory = MemoryBudget::new(config.memory_mb);
        let discovery_addr = Cell::new(config.discovery);
        Self {
            discovery_addr,
            config,
            pool,
            request_memory,
            client_connections: Cell::new(0),
            uploads: UploadStates::default(),
            list_file,
        }
    }
}

impl UpstreamTransport for HttpTransport {
    type Request = UpstreamRequest;
    type Reply = UpstreamResponse;

    async fn attempt(
        core: Rc<Core<Self>>,
        to: Target,
        request: Rc<UpstreamRequest>,
    ) -> AttemptResult<UpstreamResponse> {
        let (dispatch_core, lookup_core) = (core.clone(), core.clone());
        let server = to.server;
        let dispatch_place = move |step| match step {
            AttemptStep::Connect => dispatch_core.endpoint_for_attempt(&to),
            AttemptStep::Write => dispatch_core.endpoint_to_write(&to),
        };
        exchange(
            &core.transport().pool,
            dispatch_place,
            move || lookup_core.endpoint(server),
            (server, AttemptTimes { response_due: to.deadline, client_deadline: to.client_deadline }),
            &request,
            false,
        )
        .await
    }

    async fn probe(core: Rc<Core<Self>>, server: ServerId) -> Outcome {
        let pool = &core.transport().pool;
        // The time limit of a connect, and as long again for the response.
        let end = Instant::now() + 2 * pool.connect_timeout;
        let (lookup_core, probe) = (core.clone(), UpstreamRequest::probe());
        let place = move || lookup_core.endpoint(server);
        let dispatch_place = {
            let place = place.clone();
            move |_: AttemptStep| place()
        };
        let times = AttemptTimes { response_due: end, client_deadline: end };
        exchange(pool, dispatch_place, place, (server, times), &probe, true).await.outcome
    }

    async fn follow_list(core: Rc<Core<Self>>) -> ListStreamEnd {
        if let Some(file) = core.transport().list_file.clone() {
            return follow_file(core, file).await;
        }
        let address = core.transport().discovery_addr.get();
        discovery::follow(core, address).await
    }

    fn drop_connections(&self, server: ServerId) {
        self.pool.close_idle_to(server);
    }

    fn connection_count(&self) -> usize {
        self.pool.open_connections()
    }

    fn describe_resources(&self) -> String {
        let share = |budget: &MemoryBudget| {
            let (used, total) = budget.usage();
            format!("{} of {} KiB", used >> 10, total >> 10)
        };
        let (requests, responses) = (share(&self.request_memory), share(&self.pool.response_memory));
        let (clients, uploads) = (self.client_connections.get(), &self.uploads);
        format!("; clients {clients}; {uploads}; reserved for requests {requests}, for responses {responses}")
    }
}

/// Passes each list in a file to the core as complete: the policy treats servers that are no longer listed as
/// gone.
async fn follow_file(core: Rc<Core<HttpTransport>>, mut file: ServerListFile) -> ListStreamEnd {
    while let Some(applied) = file.next().await {
        let member = |b: &magpietally_config::AppServer| ListedServer {
            name: b.name.clone(),
            address: Some(b.address),
            zone: b.zone.clone(),
            kind: b.kind.clone(),
            cell: b.cell,
            state: match b.state {
                ServerState::Active => ListedState::Up,
                ServerState::Draining => ListedState::Draining,
            },
            weight: b.weight,
            start_ms: b.started_ms,
        };
        let members = applied.list.servers.iter().map(member).collect();
        core.list_received(ServerListing { version: applied.version, complete: true, servers: members });
    }
    let words = "the server list file is no longer watched".to_string();
    ListStreamEnd { failure: ListFailure::Broken, message: words }
}
