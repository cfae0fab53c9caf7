//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let _ = self.0.1.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{:9.3} {text}", self.now());
    }
}
