//! The log: one line an event, on standard error. ONCALL.md lists the lines.

use std::io::Write;

/// A line; an error in writing it is nobody's concern.
pub fn line(text: &str) {
    writeln!(std::io::stderr(), "basaltloom: {text}").ok();
}
