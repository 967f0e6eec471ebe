//! A node's membership in a fleet that agrees on policy and quotas: set-up of the store, the transports and
//! the protocols. One additional thread moves messages and log entries; the protocols make the decisions. Off
//! unless `node --fleet FILE` names a file like `deploy/fleet.toml`.

mod admission;
mod clock;
mod session;
mod settings;
mod thread;

use std::fs::OpenOptions;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

use magpietally_config::fleet_policy::{self, BaseSettings};
use magpietally_consensus as consensus;
use magpietally_os_error::retry::{self, Backoff, STARTUP_TIMEOUT};
use magpietally_os_error::{classify, Call};
use magpietally_policy_change::PolicyChange;
use magpietally_quota::Quota;
use magpietally_store::disk::Folder;
use magpietally_store::{Log, Recovered, StoreError};
use magpietally_transport::envelope::FleetId;
use magpietally_transport::tcp::{self, Tcp};
use magpietally_transport::udp::Udp;
use magpietally_transport::{Name, Peer};
use signal_hook::consts::SIGXFSZ;

use crate::commands::CommandError;
pub use admission::FleetState;
pub use settings::{read, Options};

/// The running fleet thread.
pub struct FleetThread {
    /// The state shared with the node's workers.
    pub shared: Arc<FleetState>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Result<(), String>>,
}

/// Opens the store and the sockets and starts the thread for the node named `name`.
///
/// # Errors
/// The name is not valid, or the store, a socket or the thread can't be opened or started.
pub fn start(name: &str, options: Options, base_settings: BaseSettings) -> Result<FleetThread, CommandError> {
    let failed = |subject: &str, cause: String| CommandError::Failed(format!("fleet: {subject}: {cause}"));
    let name =
        Name::new(name).map_err(|e| CommandError::InvalidInput(format!("fleet: name {name:?}: {e}")))?;
    let directory = options.store.display().to_string();
    // A write beyond the process's file size limit must fail like one to a full disk, and not kill the node.
    signal_hook::flag::register(SIGXFSZ, Arc::default()).map_err(|e| failed("SIGXFSZ", e.to_string()))?;
    let (store, recovered) =
        open_store(&options.store, name.as_str()).map_err(|e| failed(&directory, e.to_string()))?;
    if let Some(cut) = &recovered.torn_tail {
        tracing::warn!(target: "fleet", "{directory}: {}: a torn tail of {} bytes was truncated", cut.file, cut.bytes);
    }
    let session = retry::at_start(Call::File, "session", || session::next_session(&options.store))
        .map_err(|e| failed(&directory, e.to_string()))?;
    let me = Peer { name, session };
    let now = clock::now();
    let settings = consensus::Settings::new(options.voters.clone(), session.0);
    let snapshot = recovered.snapshot.as_ref().map(|(_, state)| state.as_slice());
    let records: Vec<Vec<u8>> = recovered.records.into_iter().map(|(_, record)| record).collect();
    let mut log = consensus::Node::open(settings, me.clone(), now, snapshot, &records)
        .map_err(|e| failed(&directory, e.to_string()))?;
    let checked_against = base_settings.clone();
    let check = Box::new(move |text: &[u8]| {
        fleet_policy::parse(text, &checked_against).map(|_| ()).map_err(|error| error.to_string())
    });
    let policy = PolicyChange::new(me.clone(), options.policy.clone(), check, now)
        .map_err(|e| CommandError::InvalidInput(format!("fleet: {e}")))?;
    let mut quota = Quota::new(me.clone(), magpietally_quota::LeaseSettings::default(), now);
    if let Some(fault) = &options.injected_fault {
        quota.inject_fault(fault);
    }
    let records = options.records.as_ref().map(|path| {
        let open = || OpenOptions::new().append(true).create(true).open(path);
        retry::at_start(Call::File, "records", open)
            .map_err(|e| failed("records", format!("{}: {e}", path.display())))
    });
    let shared = FleetState::new(me.clone(), base_settings, policy, quota, records.transpose()?);
    let fleet = FleetId::from_name(&options.fleet);
    let mut udp = Udp::bind(me.clone(), fleet, options.listen.datagrams)
        .map_err(|e| failed("datagrams", format!("{}: {e}", options.listen.datagrams)))?;
    let streams = tcp::Settings { seed: session.0, ..tcp::Settings::default() };
    let mut tcp = Tcp::bind(me.clone(), fleet, options.listen.streams, streams)
        .map_err(|e| failed("streams", format!("{}: {e}", options.listen.streams)))?;
    for (peer, at) in &options.peers {
        if !(udp.set_peer(peer.clone(), at.datagrams) && tcp.set_peer(peer.clone(), at.streams)) {
            return Err(CommandError::InvalidInput(format!("fleet: peers: {peer}: more than are kept")));
        }
    }
    log.set_peers(&options.peers.keys().cloned().collect::<Vec<_>>());
    let datagrams = udp.address().map_err(|e| failed("datagrams", e.to_string()))?;
    tracing::info!(target: "fleet", "{me} of {} at {datagrams} and {}", options.fleet, tcp.address());
    let stop = Arc::new(AtomicBool::new(false));
    let worker = thread::FleetWorker::new(
        shared.clone(),
        log,
        store,
        udp,
        tcp,
        options.policy_file.clone(),
        stop.clone(),
    );
    let thread =
        retry::spawn("fleet", move || worker.run()).map_err(|e| failed("a thread", e.to_string()))?;
    Ok(FleetThread { shared, stop, thread })
}

/// Opens the store; retries while a disk error is transient or the disk is full.
fn open_store(directory: &Path, owner: &str) -> Result<(Log<Folder>, Recovered), StoreError> {
    let began = Instant::now();
    let mut backoff = Backoff::default();
    loop {
        match Log::<Folder>::open_dir(directory, owner) {
            Err(error) if is_transient(&error) && began.elapsed() < STARTUP_TIMEOUT => {
                tracing::warn!(target: "fleet", "{}: {error}; retrying", directory.display());
                std::thread::sleep(backoff.next_delay());
            }
            result => return result,
        }
    }
}

fn is_transient(error: &StoreError) -> bool {
    match error {
        StoreError::Full => true,
        StoreError::Io(_, error) => classify(Call::File, error).is_transient(),
        _ => false,
    }
}

impl FleetThread {
    /// Returns the leases and stops the thread.
    ///
    /// # Errors
    /// The reason for which the thread had shut the node down, if it had.
    pub fn leave(self) -> Result<(), String> {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_else(|_| {
            tracing::warn!(target: "fleet", "the fleet thread panicked");
            Ok(())
        })
    }
}
