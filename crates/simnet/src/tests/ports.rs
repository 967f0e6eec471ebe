//! Tests of [`Port`] as a `Transport`.

use std::time::Duration;

use magpietally_transport::{Event, Kind, SendError, Transport};

use super::check::*;
use crate::{Faults, Limits, Net, Port};

#[test]
fn a_port_carries_messages_of_its_kind_and_closes_with_its_session() {
    let net = Net::new(1, Faults::default(), Limits::default()).shared();
    let mut a = Port::open(&net, &name(0), Kind::Stream).expect("the network accepts the node");
    let mut b = Port::open(&net, &name(1), Kind::Stream).expect("the network accepts the node");
    let mut datagrams = b.with_kind(Kind::Datagram);
    assert_eq!(a.capabilities(), Limits::default().capabilities(Kind::Stream));
    a.with_kind(Kind::Datagram).send(&name(1), b"datagram").expect("message is accepted");
    a.send(&name(1), b"stream").expect("message is accepted");
    let from = a.me().clone();
    let message = |bytes: &[u8]| Some(Event::Message { from: from.clone(), bytes: bytes.to_vec() });
    assert_eq!(b.poll(Duration::ZERO), None);
    assert_eq!(b.poll(S), Some(Event::NewSession(from.clone())));
    assert_eq!(b.poll(S), message(b"stream"));
    assert_eq!(b.poll(S), None);
    assert_eq!(datagrams.poll(S), Some(Event::NewSession(from.clone())));
    assert_eq!(datagrams.poll(S), message(b"datagram"));
    assert_eq!(a.send(&name(9), b""), Err(SendError::Unknown(name(9))));

    let mut again = Port::open(&net, &name(0), Kind::Stream).expect("the network accepts the node");
    assert_eq!(a.send(&name(1), b"late"), Err(SendError::Closed("session n0#1 has ended".to_owned())));
    again.send(&name(1), b"anew").expect("message is accepted");
    assert_eq!(b.poll(2 * S), Some(Event::NewSession(again.me().clone())));
    assert_eq!(b.poll(2 * S), Some(Event::Message { from: again.me().clone(), bytes: b"anew".to_vec() }));
}
