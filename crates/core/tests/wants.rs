//! Who still waits for what goes out.

mod common;

use std::time::{Duration, Instant};

use common::*;
use magpietally_core::{Asked, Core, Target};
use magpietally_policy::{RequestId, ServerId};

/// Settings that let nothing be called off leave attempts out when their request is over; what is not written then is wanted by
/// nobody. A probe belongs to no request.
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
            let to = |request| Target { server: ServerId(0), end, request };
            assert!(core.wants(&to(Some(id))) && core.wants(&to(None)));
            if leaves {
                core.client_gone(id);
                assert!(answered.await.is_err());
            } else {
                core.fail_open();
                assert!(answered.await.is_ok());
            }
            assert!(!core.wants(&to(Some(id))) && core.wants(&to(None)), "leaves: {leaves}");
            assert!(!core.wants(&to(Some(RequestId(id.0 + 1)))), "nor for one that never came");
        }
    });
}
