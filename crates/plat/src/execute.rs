//! Execution of the calls that the reducer makes to the platform.

use node::{Kind, PlatformEvent, PlatformOp};

use crate::{client::Client, error::Error};

impl Client {
    /// Executes a call and returns its outcome as an event for the reducer.
    pub async fn execute(&self, op: PlatformOp) -> PlatformEvent {
        match op {
            PlatformOp::Watch { after, wait } => {
                match self.watch(after, &Kind::WATCHED, wait).await {
                    Ok(changes) => PlatformEvent::Changed {
                        objects: changes.objects,
                        seen: changes.seen,
                    },
                    Err(_) => PlatformEvent::Unavailable,
                }
            }
            PlatformOp::Read { kind, name } => match self.read(kind, &name).await {
                Ok(object) => PlatformEvent::Read(object),
                Err(_) => PlatformEvent::Unavailable,
            },
            PlatformOp::Write {
                kind,
                name,
                expect,
                value,
            } => match self.write(kind, &name, expect, value).await {
                Ok(version) => PlatformEvent::Written(version),
                Err(Error::Conflict) => PlatformEvent::Conflict,
                Err(Error::Unknown { .. }) => PlatformEvent::Unknown,
                Err(Error::Unavailable { .. } | Error::TooLarge | Error::Malformed { .. }) => {
                    PlatformEvent::Unavailable
                }
            },
        }
    }
}
