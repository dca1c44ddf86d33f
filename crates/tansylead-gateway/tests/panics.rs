//! A panic in one request ends that request and nothing else.

use std::cell::RefCell;
use tansylead_gateway::caller::{RequestPanic, catch_panic};

#[tokio::test]
async fn a_panic_is_told_to_its_request_alone() {
    let shared = RefCell::new(0);
    let panicking = async {
        tokio::task::yield_now().await;
        let mut held = shared.borrow_mut();
        *held += 1;
        assert_ne!(*held, 1, "provoked");
    };
    let healthy = async {
        tokio::task::yield_now().await;
        "served"
    };
    assert_eq!(catch_panic(panicking).await, Err(RequestPanic));
    assert_eq!(catch_panic(healthy).await, Ok("served"));
    // The borrow that was held when it panicked has been released.
    assert_eq!(*shared.borrow(), 1);
}
