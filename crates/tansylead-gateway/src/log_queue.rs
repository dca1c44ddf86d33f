//! A bounded queue of log lines and the thread that writes them.
//!
//! Adding a line never waits: lines that do not fit are dropped, and the caller gets an error.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Maximum number of lines waiting to be written.
const QUEUED_LINES: usize = 512;
/// Stack of the writing thread, in bytes.
const WRITER_STACK_BYTES: usize = 64 * 1024;
/// Time limit for writing the last lines at the end of the process.
const LAST_LINES_LIMIT: Duration = Duration::from_millis(200);

/// Entries of the queue.
#[derive(Debug)]
enum Entry {
    /// A line to write.
    Line(String),
    /// Signal this sender once everything queued before has been written.
    Written(SyncSender<()>),
}

/// The sending side of the queue; all clones use the same writing thread.
#[derive(Debug, Clone)]
pub struct LogQueue {
    sender: SyncSender<Entry>,
}

/// The queue is full, or the writing thread has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the line was dropped")]
pub struct LineDropped;

/// Flushes the last lines of a process: when dropped, waits until everything queued has been written,
/// for at most 200 ms.
#[derive(Debug)]
#[must_use = "the last lines are lost if it is dropped at once"]
pub struct LastLines {
    queue: LogQueue,
}

impl LogQueue {
    /// Starts the thread that writes to `output`.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUED_LINES);
        std::thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(move || write_lines(&receiver, output))?;
        Ok(Self { sender })
    }

    /// Queues a line, which includes its newline.
    pub fn push(&self, line: String) -> Result<(), LineDropped> {
        let queued = self.sender.try_send(Entry::Line(line));
        queued.map_err(|_| LineDropped)
    }

    /// A guard that flushes the queued lines when the process ends.
    pub fn last_lines(&self) -> LastLines {
        LastLines {
            queue: self.clone(),
        }
    }
}

impl Drop for LastLines {
    fn drop(&mut self) {
        let (written, all_written) = sync_channel(1);
        if self.queue.sender.try_send(Entry::Written(written)).is_ok() {
            // A blocked output must not delay the end of the process.
            let _ = all_written.recv_timeout(LAST_LINES_LIMIT);
        }
    }
}

fn write_lines(receiver: &Receiver<Entry>, mut output: impl Write) {
    while let Ok(entry) = receiver.recv() {
        match entry {
            Entry::Line(line) => {
                // A closed output must not end the daemon.
                let _ = output.write_all(line.as_bytes());
            }
            Entry::Written(sender) => {
                let _ = output.flush();
                let _ = sender.try_send(());
            }
        }
    }
}
