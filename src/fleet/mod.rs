//! A node's part of a fleet that decides together: the carriers' assembly. One thread beside the node's moves messages and
//! entries; the rooms decide. Off unless `node --fleet FILE` names a file like `deploy/fleet.toml`.

mod clock;
mod gate;
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
pub use gate::Shared;
pub use settings::{read, Options};

/// The fleet's thread at work.
pub struct FleetThread {
    /// What the node asks.
    pub shared: Arc<Shared>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Result<(), String>>,
}

/// Opens the store and the sockets and starts the thread for the node named `name`.
///
/// # Errors
/// The name, the store, a socket or a thread can't be had.
pub fn start(name: &str, options: Options, ground: BaseSettings) -> Result<FleetThread, CommandError> {
    let failed = |what: &str, why: String| CommandError::Failed(format!("fleet: {what}: {why}"));
    let name =
        Name::new(name).map_err(|e| CommandError::InvalidInput(format!("fleet: name {name:?}: {e}")))?;
    let place = options.store.display().to_string();
    // A file that reaches the process's limit is to be refused at its write, as a full disk is, and not to end the node.
    signal_hook::flag::register(SIGXFSZ, Arc::default()).map_err(|e| failed("SIGXFSZ", e.to_string()))?;
    let (store, recovered) =
        open_store(&options.store, name.as_str()).map_err(|e| failed(&place, e.to_string()))?;
    if let Some(cut) = &recovered.torn_tail {
        tracing::warn!(target: "fleet", "{place}: {}: a torn end of {} bytes was cut", cut.file, cut.bytes);
    }
    let session = retry::at_start(Call::File, "session", || session::next(&options.store))
        .map_err(|e| failed(&place, e.to_string()))?;
    let me = Peer { name, session };
    let now = clock::now();
    let settings = consensus::Settings::new(options.voters.clone(), session.0);
    let snapshot = recovered.snapshot.as_ref().map(|(_, state)| state.as_slice());
    let records: Vec<Vec<u8>> = recovered.records.into_iter().map(|(_, record)| record).collect();
    let mut log = consensus::Node::open(settings, me.clone(), now, snapshot, &records)
        .map_err(|e| failed(&place, e.to_string()))?;
    let check = ground.clone();
    let check = Box::new(move |text: &[u8]| {
        fleet_policy::parse(text, &check).map(|_| ()).map_err(|error| error.to_string())
    });
    let policy = PolicyChange::new(me.clone(), options.policy.clone(), check, now)
        .map_err(|e| CommandError::InvalidInput(format!("fleet: {e}")))?;
    let mut quota = Quota::new(me.clone(), magpietally_quota::LeaseSettings::default(), now);
    if let Some(planted) = &options.planted {
        quota.inject_fault(planted);
    }
    let records = options.records.as_ref().map(|path| {
        let open = || OpenOptions::new().append(true).create(true).open(path);
        retry::at_start(Call::File, "records", open)
            .map_err(|e| failed("records", format!("{}: {e}", path.display())))
    });
    let shared = Shared::new(me.clone(), ground, policy, quota, records.transpose()?);
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
    let carrier =
        thread::Carrier::new(shared.clone(), log, store, udp, tcp, options.policy_file.clone(), stop.clone());
    let thread =
        retry::spawn("fleet", move || carrier.run()).map_err(|e| failed("a thread", e.to_string()))?;
    Ok(FleetThread { shared, stop, thread })
}

/// Opens the store; a disk that fails or is full for a moment is waited for.
fn open_store(place: &Path, owner: &str) -> Result<(Log<Folder>, Recovered), StoreError> {
    let began = Instant::now();
    let mut pauses = Backoff::default();
    loop {
        match Log::<Folder>::open_dir(place, owner) {
            Err(error) if may_pass(&error) && began.elapsed() < STARTUP_TIMEOUT => {
                tracing::warn!(target: "fleet", "{}: {error}; opened again", place.display());
                std::thread::sleep(pauses.next_delay());
            }
            ended => return ended,
        }
    }
}

fn may_pass(error: &StoreError) -> bool {
    match error {
        StoreError::Full => true,
        StoreError::Io(_, error) => classify(Call::File, error).is_transient(),
        _ => false,
    }
}

impl FleetThread {
    /// Gives the leases back and ends the thread.
    ///
    /// # Errors
    /// Why the thread had ended the node by itself, if it had.
    pub fn leave(self) -> Result<(), String> {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_else(|_| {
            tracing::warn!(target: "fleet", "its thread ended in a panic");
            Ok(())
        })
    }
}
