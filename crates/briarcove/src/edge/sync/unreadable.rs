//! Reports of objects in the store that cannot be read.

use std::{cell::RefCell, collections::HashSet};

use platform::objects::Unreadable;
use slog::warn;

use super::Sync;

/// Maximum number of objects that are reported in the lifetime of a process.
const MAX_REPORTED: usize = 256;

/// Kind and name of an object; `None` for a name that cannot be read.
type ObjectName = (&'static str, Option<Box<str>>);

/// The objects that were reported. Another writer may write the same one again and again.
#[derive(Default)]
pub(super) struct Reported(RefCell<HashSet<ObjectName>>);

impl Sync {
    /// Logs which objects of a kind cannot be read, each once.
    pub(super) fn report_unreadable(&self, kind: &'static str, objects: &[Unreadable]) {
        let mut reported = self.reported.0.borrow_mut();
        for object in objects {
            if reported.len() < MAX_REPORTED && reported.insert((kind, object.name.clone())) {
                warn!(self.shell.log, "leaving out an object that cannot be read"; "kind" => kind,
                    "name" => object.name.as_deref().unwrap_or_default(), "error" => &*object.reason);
            }
        }
    }
}
