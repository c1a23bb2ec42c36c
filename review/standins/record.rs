//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The file `record.txt`, shared by all threads of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create(folder: &Path) -> io::Result<Record> {
        let file = BufWriter::new(File::create(folder.join("record.txt"))?);
        Ok(Record { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // A record that can't be written must not change the course of the test.
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    /// Writes one line, also to standard output.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
