//! How the core follows the server list: calls to its source, and what they bring.

use std::rc::Rc;
use std::time::Duration;

use magpietally_policy::Event;
use tokio::task::spawn_local;

use super::Core;
use crate::clock::duration;
use crate::servers::ServerListing;
use crate::upstream::{ListStreamEnd, UpstreamTransport};

impl<C: UpstreamTransport> Core<C> {
    pub(super) fn subscribe(self: &Rc<Self>) {
        let core = self.clone();
        let call = spawn_local(async move {
            let ListStreamEnd { failure, message } = C::follow_list(core.clone()).await;
            tracing::info!(target: "list", "{message}");
            core.handle_event(Event::ListFailed(failure));
        });
        // One call at a time: a call that the policy no longer waits for would only put load on the service.
        if let Some(old) = self.state.borrow_mut().list_call.replace(call.abort_handle()) {
            old.abort();
        }
    }

    /// The list's source has a new address, which is called at once. The list and its version are kept: all
    /// nodes share one service, which continues from that version at the new address. The old call is aborted
    /// first, so that none of its updates arrive late.
    pub fn list_source_moved(self: &Rc<Self>) {
        if let Some(old) = self.state.borrow_mut().list_call.take() {
            old.abort();
        }
        self.handle_event(Event::DiscoveryMoved);
    }

    /// How long a call for the list may take until the response begins.
    pub fn list_timeout(&self) -> Duration {
        duration(self.state.borrow().epochs.newest().list_response_timeout())
    }

    /// The version to follow the list from; `None` if the complete list is needed first.
    pub fn list_version(&self) -> Option<u64> {
        self.state.borrow().servers.version
    }

    /// Forgets the list's version, because the last update may not follow on from the node's list.
    pub fn reset_list_version(&self) {
        self.state.borrow_mut().servers.version = None;
    }

    /// Notes that the list's source has responded.
    fn mark_source_responded(&self) {
        if !self.source_responded.replace(true) {
            self.first_response.notify_one();
        }
    }

    /// The source has responded to a call without an update. To be called once per call, because the policy
    /// waits for it.
    pub fn list_unchanged(self: &Rc<Self>) {
        self.mark_source_responded();
        self.handle_event(Event::ListChange(Vec::new()));
    }

    /// The source has sent a list, or changes.
    pub fn list_received(self: &Rc<Self>, listing: ServerListing) {
        self.mark_source_responded();
        self.apply_list(listing, false);
    }

    pub(super) fn apply_list(self: &Rc<Self>, listing: ServerListing, saved: bool) {
        let complete = listing.complete;
        let (entries, stale) =
            self.state.borrow_mut().servers.apply(listing, |unix| self.clock.at_unix(unix));
        for server in stale {
            self.transport.drop_connections(server);
        }
        self.handle_event(if complete { Event::List { entries, saved } } else { Event::ListChange(entries) });
    }
}
