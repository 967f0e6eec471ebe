//! Who still waits for what goes out.

mod common;

use std::time::{Duration, Instant};

use common::*;
use magpietally_core::{Asked, Core, Target};
use magpietally_policy::RequestId;

/// Settings that let nothing be called off leave attempts out when their request is over; what is not written then is wanted by
/// nobody, whether its client has left or been answered.
#[test]
fn nobody_waits_for_what_goes_out_when_its_request_is_over() {
    run(async {
        for leaves in [true, false] {
            let mut settings = settings(20_000.0);
            settings.limits.cancel = false;
            let boxes = Boxes { lasts: Duration::from_secs(600).into(), ..Boxes::default() };
            let core = Core::new(setup(settings), boxes).expect("good settings");
            let end = Instant::now() + Duration::from_secs(20);
            let asked = |id: &str| Asked { id: id.into(), class: SLIP, tenant: None, request: Request("k") };
            let (id, answered) = core.request(asked("t1"), end).expect("it is taken");
            until(|| core.carrier().sent.borrow().len() == 1).await;
            let server = core.carrier().sent.borrow()[0].1;
            let wanted = |id| core.place_for(&Target { id, server, end, by: None }).is_some();
            assert!(wanted(id));
            if leaves {
                core.client_gone(id);
                assert!(answered.await.is_err());
            } else {
                core.fail_open();
                assert!(answered.await.is_ok());
            }
            assert!(!wanted(id), "leaves: {leaves}");
            assert!(!wanted(RequestId(id.0 + 1)), "nor for one that never came");
            assert!(core.place(server).is_some(), "the server itself may be sent to");
        }
    });
}
