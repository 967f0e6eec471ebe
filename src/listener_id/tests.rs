use std::net::TcpListener;
use std::os::fd::AsRawFd;

use super::*;

fn id_of(socket: &TcpListener) -> io::Result<ListenerId> {
    of_descriptor(u32::try_from(socket.as_raw_fd()).expect("an open descriptor"))
}

#[test]
fn a_duplicated_descriptor_is_the_same_socket_and_another_socket_is_not() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let other = TcpListener::bind("127.0.0.1:0").expect("a port");
    let id = id_of(&socket).expect("an open descriptor");
    assert_eq!(id_of(&socket.try_clone().expect("a descriptor")).ok(), Some(id));
    assert_ne!(id_of(&other).ok(), Some(id));
}

#[test]
fn a_descriptor_that_is_not_open_or_a_boot_id_that_is_no_uuid_is_an_error() {
    assert!(of_descriptor(u32::MAX).is_err());
    assert_eq!(parse_boot_id("not a uuid").map_err(|e| e.kind()), Err(ErrorKind::InvalidData));
    assert_eq!(parse_boot_id("00000000-0000-0000-0000-00000000000a\n").ok(), Some(10));
}
