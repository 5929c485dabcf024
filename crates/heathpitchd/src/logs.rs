//! Logging as JSON lines on standard output.
//!
//! Lines are buffered in memory and written by a dedicated thread a few times a second, so that
//! neither traffic nor control threads wait for the reader of the log. The buffer is bounded: lines
//! below warning level are dropped first, and the number of dropped lines is logged.

use std::io::{self, Write};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::{Level, LevelFilter, Record};
use parking_lot::Mutex;

use crate::clock::wall;

/// Interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Capacity of the buffer.
const BUFFER_BYTES: usize = 512 << 10;
/// Fill level beyond which only warnings and errors are buffered.
const INFO_BUFFER_BYTES: usize = BUFFER_BYTES / 2;

/// Logging cannot be initialized.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// Logging was already initialized.
    #[error("logging is already initialized")]
    AlreadyInitialized,
    /// The writer thread cannot be started.
    #[error("cannot start the log writer thread: {0}")]
    Thread(#[from] io::Error),
}

/// Lines not written yet.
#[derive(Debug, Default)]
struct LogBuffer {
    text: Vec<u8>,
    dropped: u64,
}

impl LogBuffer {
    fn push(&mut self, level: Level, line: &str) {
        let capacity = if level <= Level::Warn { BUFFER_BYTES } else { INFO_BUFFER_BYTES };
        if self.text.len() + line.len() >= capacity {
            self.dropped += 1;
            return;
        }
        self.text.extend_from_slice(line.as_bytes());
        self.text.push(b'\n');
    }

    /// Takes the buffered text and appends a line with the number of dropped lines, if any.
    fn drain(&mut self) -> Vec<u8> {
        let mut text = std::mem::take(&mut self.text);
        if self.dropped > 0 {
            let (at, lines) = (wall(), self.dropped);
            let line = format!(
                "{{\"at\":{at},\"level\":\"warn\",\"event\":\"log_dropped\",\"lines\":{lines}}}\n"
            );
            text.extend_from_slice(line.as_bytes());
            self.dropped = 0;
        }
        text
    }
}

/// Flushes the buffer when dropped.
#[derive(Debug)]
pub struct LogGuard(Arc<Mutex<LogBuffer>>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        flush(&self.0);
    }
}

/// Writes JSON lines of at least `level` to standard output until the guard is dropped.
///
/// # Errors
///
/// [`LogError::AlreadyInitialized`] if called before; [`LogError::Thread`] if the writer thread
/// cannot be started.
pub fn init(level: LevelFilter) -> Result<LogGuard, LogError> {
    let buffer = Arc::new(Mutex::new(LogBuffer::default()));
    let sink = buffer.clone();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("heathpitch", level)
        .level_for("heathpitchd", level)
        .chain(fern::Output::call(move |record| {
            sink.lock().push(record.level(), &format(record));
        }))
        .apply()
        .map_err(|_| LogError::AlreadyInitialized)?;
    let writer = buffer.clone();
    thread::Builder::new().name("log".to_owned()).spawn(move || {
        loop {
            thread::sleep(WRITE_INTERVAL);
            flush(&writer);
        }
    })?;
    Ok(LogGuard(buffer))
}

fn flush(buffer: &Mutex<LogBuffer>) {
    let text = buffer.lock().drain();
    if text.is_empty() {
        return;
    }
    // A failed write cannot be reported, since the log is the only output.
    let _ = io::stdout().lock().write_all(&text);
}

fn format(record: &Record<'_>) -> String {
    let text = record.args().to_string();
    let level = record.level().as_str().to_ascii_lowercase();
    let at = wall();
    match text.strip_prefix('{') {
        Some(rest) if record.target() == "heathpitch" => {
            format!("{{\"at\":{at},\"level\":\"{level}\",{rest}")
        }
        _ => {
            let text = serde_json::Value::from(text);
            let message = "\"event\":\"message\",\"text\"";
            format!("{{\"at\":{at},\"level\":\"{level}\",{message}:{text}}}")
        }
    }
}
