//! Writes to standard output. A reader that has seen enough, such as `head`, ends the output but
//! not the command: its exit status still says what happened.

use std::fmt::Arguments;
use std::io::Write;

/// Writes a text as it is.
macro_rules! output {
    ($($argument:tt)*) => {
        $crate::output::write(format_args!($($argument)*))
    };
}

/// Writes a text and ends the line.
macro_rules! output_line {
    ($($argument:tt)*) => {
        $crate::output::write(format_args!("{}\n", format_args!($($argument)*)))
    };
}

/// Writes to standard output; errors are left alone, as there is nowhere else to put the text.
pub(crate) fn write(text: Arguments<'_>) {
    let mut standard_output = std::io::stdout().lock();
    let _ = standard_output
        .write_fmt(text)
        .and_then(|()| standard_output.flush());
}
