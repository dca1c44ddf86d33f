//! Writes to standard output. If the reader closes the pipe early, as `head` does, the output is
//! dropped but the command goes on, and its exit status still reports the result.

use std::fmt::Arguments;
use std::io::Write;

/// Writes formatted text without a line break.
macro_rules! output {
    ($($argument:tt)*) => {
        $crate::output::write(format_args!($($argument)*))
    };
}

/// Writes formatted text and a line break.
macro_rules! output_line {
    ($($argument:tt)*) => {
        $crate::output::write(format_args!("{}\n", format_args!($($argument)*)))
    };
}

/// Writes to standard output. Errors are ignored, as there is nowhere else to write the text.
pub(crate) fn write(text: Arguments<'_>) {
    let mut standard_output = std::io::stdout().lock();
    let _ = standard_output
        .write_fmt(text)
        .and_then(|()| standard_output.flush());
}
