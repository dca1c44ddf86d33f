//! The log queue never blocks, and is flushed at the end of the process.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};
use tansylead_gateway::log_queue::LogQueue;

/// An output that blocks until it is opened, as a full pipe does.
#[derive(Clone, Default)]
struct Gate {
    opened: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<Mutex<String>>,
}

impl Gate {
    fn open(&self) {
        let (opened, changed) = &*self.opened;
        *opened.lock().expect("not poisoned") = true;
        changed.notify_all();
    }

    fn text(&self) -> String {
        self.written.lock().expect("not poisoned").clone()
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (opened, changed) = &*self.opened;
        let guard = opened.lock().expect("not poisoned");
        let _guard = changed
            .wait_while(guard, |opened| !*opened)
            .expect("not poisoned");
        let text = String::from_utf8_lossy(bytes);
        self.written.lock().expect("not poisoned").push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn the_last_lines_are_written_before_the_process_goes_on_to_its_end() {
    // Regression: the line that says "stopped" was lost with the writing thread.
    let output = Gate::default();
    output.open();
    let queue = LogQueue::start(output.clone()).expect("starts");
    let last_lines = queue.last_lines();
    for number in 0..200 {
        queue.push(format!("{number}\n")).expect("fits");
    }
    drop(last_lines);
    assert!(output.text().ends_with("\n199\n"), "{}", output.text());
}

#[test]
fn a_blocked_output_delays_nobody() {
    let output = Gate::default();
    let queue = LogQueue::start(output.clone()).expect("starts");
    let dropped = (0..2_000).filter(|_| queue.push("line\n".to_owned()).is_err());
    assert!(dropped.count() > 1_000);
    drop(queue.last_lines());
    assert_eq!(output.text(), "");
    output.open();
}
