//! The replaced functions. Each has the signature of the C library's function of that name.
#![allow(clippy::missing_safety_doc, missing_docs)]

use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, Ordering};

use libc::{c_char, c_int, c_uint, c_void, iovec, msghdr, off_t, size_t, sockaddr, socklen_t, ssize_t};

use crate::plan::{Call, Fault};
use crate::state::{self, fault};

/// The function that this library's function of the same name hides, looked up once.
struct NextSymbol {
    name: &'static CStr,
    address: AtomicPtr<c_void>,
}

impl NextSymbol {
    const fn new(name: &'static CStr) -> Self {
        Self { name, address: AtomicPtr::new(std::ptr::null_mut()) }
    }

    fn get(&self) -> *mut c_void {
        let known = self.address.load(Ordering::Acquire);
        if !known.is_null() {
            return known;
        }
        // SAFETY: the name is a C string; the result is checked.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        if found.is_null() {
            std::process::abort();
        }
        self.address.store(found, Ordering::Release);
        found
    }
}

fn set_errno(error: c_int) {
    // SAFETY: the C library returns a valid pointer for each thread.
    unsafe { *libc::__errno_location() = error };
}

/// Calls the C library's function of this name.
macro_rules! real {
    ($name:literal, ($($type:ty),*) -> $result:ty, $($argument:expr),*) => {{
        static NEXT: NextSymbol = NextSymbol::new($name);
        // SAFETY: the C library's function of this name has this type.
        let function: unsafe extern "C" fn($($type),*) -> $result = unsafe { std::mem::transmute(NEXT.get()) };
        unsafe { function($($argument),*) }
    }};
}

/// Aborts a connection for both ends: connecting a TCP socket to `AF_UNSPEC` disconnects it.
fn disconnect(descriptor: c_int) {
    let unspecified = sockaddr { sa_family: libc::AF_UNSPEC as libc::sa_family_t, sa_data: [0; 14] };
    // SAFETY: the address is valid during the call, and the size is its own.
    unsafe { libc::syscall(libc::SYS_connect, descriptor, &raw const unspecified, size_of::<sockaddr>()) };
}

/// Sets `errno` if the fault makes the call fail; returns whether it does.
fn set_error(fault: Option<Fault>, descriptor: c_int) -> bool {
    let error = match fault {
        Some(Fault::Error(error)) => error,
        Some(Fault::Broken(error)) => {
            disconnect(descriptor);
            error
        }
        Some(Fault::Short(_) | Fault::Step(_)) | None => return false,
    };
    set_errno(error);
    true
}

/// Returns -1 from the calling function if the plan makes the call fail.
macro_rules! fail {
    ($call:expr, $descriptor:expr) => {
        if set_error(fault($call, $descriptor), $descriptor) {
            return -1;
        }
    };
}

/// Like `fail`, for a call that transfers bytes; evaluates to the number of bytes that it may transfer.
macro_rules! fail_or_cut {
    ($call:expr, $descriptor:expr, $length:expr) => {
        match fault($call, $descriptor) {
            Some(Fault::Short(max_bytes)) => $length.min(max_bytes.max(1)),
            fault if set_error(fault, $descriptor) => return -1,
            _ => $length,
        }
    };
}

fn receive_call(flags: c_int) -> Call {
    if flags & libc::MSG_PEEK == 0 {
        Call::Recv
    } else {
        Call::Peek
    }
}

// ---- Bytes ----

#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = fail_or_cut!(receive_call(flags), fd, length);
    real!(c"recv", (c_int, *mut c_void, size_t, c_int) -> ssize_t, fd, to, length, flags)
}

#[no_mangle]
pub unsafe extern "C" fn recvfrom(
    fd: c_int,
    to: *mut c_void,
    length: size_t,
    flags: c_int,
    from: *mut sockaddr,
    size: *mut socklen_t,
) -> ssize_t {
    let length = fail_or_cut!(receive_call(flags), fd, length);
    real!(
        c"recvfrom",
        (c_int, *mut c_void, size_t, c_int, *mut sockaddr, *mut socklen_t) -> ssize_t,
        fd, to, length, flags, from, size
    )
}

#[no_mangle]
pub unsafe extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    fail!(receive_call(flags), fd);
    real!(c"recvmsg", (c_int, *mut msghdr, c_int) -> ssize_t, fd, message, flags)
}

#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, to: *mut c_void, length: size_t) -> ssize_t {
    let length = fail_or_cut!(Call::Read, fd, length);
    real!(c"read", (c_int, *mut c_void, size_t) -> ssize_t, fd, to, length)
}

#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = fail_or_cut!(Call::Send, fd, length);
    real!(c"send", (c_int, *const c_void, size_t, c_int) -> ssize_t, fd, from, length, flags)
}

#[no_mangle]
pub unsafe extern "C" fn sendto(
    fd: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
    to: *const sockaddr,
    size: socklen_t,
) -> ssize_t {
    fail!(Call::Send, fd);
    real!(
        c"sendto",
        (c_int, *const c_void, size_t, c_int, *const sockaddr, socklen_t) -> ssize_t,
        fd, from, length, flags, to, size
    )
}

#[no_mangle]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    fail!(Call::Send, fd);
    real!(c"sendmsg", (c_int, *const msghdr, c_int) -> ssize_t, fd, message, flags)
}

#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, length: size_t) -> ssize_t {
    let length = fail_or_cut!(Call::Write, fd, length);
    real!(c"write", (c_int, *const c_void, size_t) -> ssize_t, fd, from, length)
}

#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, from: *const iovec, count: c_int) -> ssize_t {
    match fault(Call::Writev, fd) {
        Some(Fault::Short(max_bytes)) if count > 0 => {
            // SAFETY: the caller passes at least one buffer.
            let mut first = unsafe { *from };
            first.iov_len = first.iov_len.min(max_bytes.max(1));
            real!(c"writev", (c_int, *const iovec, c_int) -> ssize_t, fd, &first, 1)
        }
        fault if set_error(fault, fd) => -1,
        _ => real!(c"writev", (c_int, *const iovec, c_int) -> ssize_t, fd, from, count),
    }
}

// ---- Sockets ----

#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut sockaddr,
    size: *mut socklen_t,
    flags: c_int,
) -> c_int {
    fail!(Call::Accept, fd);
    let accepted =
        real!(c"accept4", (c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int, fd, from, size, flags);
    if accepted >= 0 {
        state::mark_accepted(accepted);
    }
    accepted
}

#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, size: socklen_t) -> c_int {
    fail!(Call::Connect, fd);
    state::mark_dialled(fd);
    real!(c"connect", (c_int, *const sockaddr, socklen_t) -> c_int, fd, to, size)
}

#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    fail!(Call::Socket, -1);
    real!(c"socket", (c_int, c_int, c_int) -> c_int, domain, kind, protocol)
}

#[no_mangle]
pub unsafe extern "C" fn socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int {
    fail!(Call::Socketpair, -1);
    real!(c"socketpair", (c_int, c_int, c_int, *mut c_int) -> c_int, domain, kind, protocol, pair)
}

#[no_mangle]
pub unsafe extern "C" fn bind(fd: c_int, at: *const sockaddr, size: socklen_t) -> c_int {
    fail!(Call::Bind, fd);
    real!(c"bind", (c_int, *const sockaddr, socklen_t) -> c_int, fd, at, size)
}

#[no_mangle]
pub unsafe extern "C" fn listen(fd: c_int, backlog: c_int) -> c_int {
    fail!(Call::Listen, fd);
    real!(c"listen", (c_int, c_int) -> c_int, fd, backlog)
}

#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    size: socklen_t,
) -> c_int {
    fail!(Call::Setsockopt, fd);
    real!(
        c"setsockopt",
        (c_int, c_int, c_int, *const c_void, socklen_t) -> c_int,
        fd, level, name, value, size
    )
}

#[no_mangle]
pub unsafe extern "C" fn getsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *mut c_void,
    size: *mut socklen_t,
) -> c_int {
    fail!(Call::Getsockopt, fd);
    real!(
        c"getsockopt",
        (c_int, c_int, c_int, *mut c_void, *mut socklen_t) -> c_int,
        fd, level, name, value, size
    )
}

#[no_mangle]
pub unsafe extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    fail!(Call::Shutdown, fd);
    real!(c"shutdown", (c_int, c_int) -> c_int, fd, how)
}

/// Fails as on Linux: the descriptor is released even so.
#[no_mangle]
pub unsafe extern "C" fn close(fd: c_int) -> c_int {
    let failed = fault(Call::Close, fd);
    state::clear_origin(fd);
    let closed = real!(c"close", (c_int) -> c_int, fd);
    match failed {
        Some(Fault::Error(error)) => {
            set_errno(error);
            -1
        }
        _ => closed,
    }
}

// ---- Polling ----

#[no_mangle]
pub unsafe extern "C" fn epoll_create1(flags: c_int) -> c_int {
    fail!(Call::EpollCreate, -1);
    real!(c"epoll_create1", (c_int) -> c_int, flags)
}

#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    poll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if operation == libc::EPOLL_CTL_ADD {
        fail!(Call::EpollAdd, fd);
    }
    real!(
        c"epoll_ctl",
        (c_int, c_int, c_int, *mut libc::epoll_event) -> c_int,
        poll, operation, fd, event
    )
}

#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    poll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    fail!(Call::EpollWait, poll);
    real!(
        c"epoll_wait",
        (c_int, *mut libc::epoll_event, c_int, c_int) -> c_int,
        poll, events, max_events, timeout
    )
}

#[no_mangle]
pub unsafe extern "C" fn eventfd(first: c_uint, flags: c_int) -> c_int {
    fail!(Call::Eventfd, -1);
    real!(c"eventfd", (c_uint, c_int) -> c_int, first, flags)
}

// ---- Files ----

/// The mode takes the place of a variadic argument: the platforms of the tests pass both alike.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int {
    fail!(Call::Open, -1);
    real!(c"open64", (*const c_char, c_int, libc::mode_t) -> c_int, path, flags, mode)
}

#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    fail!(Call::Sync, fd);
    real!(c"fsync", (c_int) -> c_int, fd)
}

#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    fail!(Call::Sync, fd);
    real!(c"fdatasync", (c_int) -> c_int, fd)
}

#[no_mangle]
pub unsafe extern "C" fn ftruncate64(fd: c_int, length: off_t) -> c_int {
    fail!(Call::Truncate, fd);
    real!(c"ftruncate64", (c_int, off_t) -> c_int, fd, length)
}

#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    fail!(Call::Rename, -1);
    real!(c"rename", (*const c_char, *const c_char) -> c_int, from, to)
}

// ---- Threads and clock ----

#[no_mangle]
pub unsafe extern "C" fn pthread_create(
    thread: *mut libc::pthread_t,
    attributes: *const libc::pthread_attr_t,
    begin: extern "C" fn(*mut c_void) -> *mut c_void,
    argument: *mut c_void,
) -> c_int {
    if let Some(Fault::Error(error)) = fault(Call::Thread, -1) {
        return error;
    }
    real!(
        c"pthread_create",
        (
            *mut libc::pthread_t,
            *const libc::pthread_attr_t,
            extern "C" fn(*mut c_void) -> *mut c_void,
            *mut c_void
        ) -> c_int,
        thread, attributes, begin, argument
    )
}

/// Reads a clock without faults.
pub fn real_clock_gettime(clock: libc::clockid_t, to: &mut libc::timespec) -> c_int {
    real!(c"clock_gettime", (libc::clockid_t, *mut libc::timespec) -> c_int, clock, to)
}

#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut libc::timespec) -> c_int {
    // SAFETY: the caller passes a valid pointer.
    let result = real_clock_gettime(clock, unsafe { &mut *to });
    if clock == libc::CLOCK_REALTIME && result == 0 {
        if let Some(Fault::Step(ms)) = fault(Call::Clock, -1) {
            // SAFETY: as above.
            unsafe { (*to).tv_sec += ms / 1000 };
        }
    }
    result
}
