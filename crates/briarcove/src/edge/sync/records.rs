//! Records of the instances in the store.

use std::{cmp::Reverse, rc::Rc, time::Duration};

use compio::{net::TcpStream, time::timeout};
use platform::{
    Store,
    store::{Error, Freshness, Object},
};
use serde_json::{Value, json};
use slog::{info, warn};
use tier::{Event, Instance, watchers};

use super::Sync;

/// Kind of the records of instances, of our own.
const INSTANCES: &str = "briarcove-instances";

/// Instances that are tried at each look, of those that have others to follow them.
const TRIES: usize = 4;

/// Longest wait for a connection to an instance.
const TRY_TIMEOUT: Duration = Duration::from_millis(600);

/// Tries without a connection, one a look, after which an instance is taken for gone: longer than
/// a partition or a frozen instance usually lasts.
const TRIES_BEFORE_GONE: u32 = 8;

/// Reads which instances there are; returns their records.
pub(super) async fn read(sync: &Sync, store: &mut Store) -> Option<Vec<Object>> {
    let records = match store.list(INSTANCES, Freshness::Stale).await {
        Ok(records) => records.objects,
        Err(e) => {
            warn!(sync.shell.log, "instances can't be read"; "error" => %e);
            return None;
        }
    };
    sync.own_records(&records);
    let instances = parse_all(&records);
    sync.instances.set(instances.len());
    let own = sync.shell.cfg.borrow().instance.clone();
    *sync.candidates.borrow_mut() = watchers::candidates(&instances, &own);
    sync.shell.dispatch(Event::Instances(instances));
    Some(records)
}

/// Writes the record of this instance; returns whether it is there.
pub(super) async fn register(sync: &Sync, store: &mut Store) -> bool {
    let name = sync.shell.cfg.borrow().instance.clone();
    match store.create(INSTANCES, &name, sync.record()).await {
        Ok(()) | Err(Error::Conflict) => true,
        Err(e) => {
            warn!(sync.shell.log, "the record of the instance can't be written"; "error" => %e);
            false
        }
    }
}

/// Looks at all records: renews the own one and removes those of instances that are gone; returns
/// whether the own one is there.
pub(super) async fn look(sync: &Rc<Sync>, store: &mut Store) -> bool {
    let Some(records) = read(sync, store).await else {
        return true;
    };
    if sync.roles_known.get() && !sync.is_following.get() {
        remove_gone(sync, store, &records).await;
    }
    let name = sync.shell.cfg.borrow().instance.clone();
    let Some(own) = records.iter().find(|record| record.name == name) else {
        // It may be missing from a list that is stale, and is written again if it is.
        return false;
    };
    if own.spec != sync.record() {
        let renewed = store.replace(INSTANCES, &name, own.revision, sync.record());
        if let Err(e) = renewed.await {
            warn!(sync.shell.log, "the record of the instance can't be renewed"; "error" => %e);
        }
    }
    true
}

/// Removes the records of instances that can't be reached; one that lives writes its own again.
async fn remove_gone(sync: &Rc<Sync>, store: &mut Store, records: &[Object]) {
    let own = sync.shell.cfg.borrow().instance.clone();
    let others = records.iter().filter(|record| record.name != own);
    let mut tried: Vec<&Object> = {
        let unreached = sync.unreached.borrow();
        let suspects = others
            .clone()
            .filter(|record| unreached.contains_key(&record.name));
        suspects.take(TRIES).collect()
    };
    if tried.is_empty() {
        tried = sync.shell.some_of(others, TRIES);
    }
    let live = parse_all(records);
    let mut any = false;
    for record in tried {
        let instance = parse(record);
        let is_newest = |it: &Instance| live.iter().any(|known| known == it);
        let is_there = match instance.filter(is_newest) {
            Some(instance) => {
                let connect = TcpStream::connect(instance.address);
                matches!(timeout(TRY_TIMEOUT, connect).await, Ok(Ok(_)))
            }
            // Another instance has its address, or it is no record of this version.
            None => false,
        };
        if is_there {
            sync.unreached.borrow_mut().remove(&record.name);
            continue;
        }
        let strikes = {
            let mut unreached = sync.unreached.borrow_mut();
            let strikes = unreached.entry(record.name.clone()).or_default();
            *strikes += 1;
            *strikes
        };
        if strikes < TRIES_BEFORE_GONE {
            continue;
        }
        sync.unreached.borrow_mut().remove(&record.name);
        match store.remove(INSTANCES, &record.name, record.revision).await {
            Ok(()) | Err(Error::Conflict) => {
                any = true;
                info!(sync.shell.log, "the record of an instance that is gone was removed";
                    "instance" => &*record.name);
            }
            Err(e) => warn!(sync.shell.log, "a record can't be removed"; "error" => %e),
        }
    }
    if any {
        // A write of its own explains the store's revision to the others.
        sync.removals.set(sync.removals.get() + 1);
    }
    let names: Vec<&str> = records.iter().map(|record| &*record.name).collect();
    let mut unreached = sync.unreached.borrow_mut();
    unreached.retain(|name, _| names.contains(&&**name));
}

impl Sync {
    /// Returns the record of this instance.
    fn record(&self) -> Value {
        let cfg = self.shell.cfg.borrow();
        json!({"dataCentre": &*cfg.data_centre, "address": cfg.peers.to_string(),
            "power": cfg.cpu_share, "removals": self.removals.get()})
    }

    /// Notes the revisions of records that instances have written.
    pub(super) fn own_records(&self, records: &[Object]) {
        let newest = records.iter().map(|record| record.revision).max();
        self.own.set(self.own.get().max(newest.unwrap_or(0)));
    }
}

/// Reads records; of those at one address the newest is true, as an address is used again when its
/// instance is gone.
fn parse_all(records: &[Object]) -> Vec<Instance> {
    let mut newest_first: Vec<&Object> = records.iter().collect();
    newest_first.sort_by_key(|record| Reverse(record.revision));
    let mut instances: Vec<Instance> = Vec::with_capacity(records.len());
    for record in newest_first {
        if let Some(read) = parse(record)
            && !instances.iter().any(|known| known.address == read.address)
        {
            instances.push(read);
        }
    }
    instances
}

fn parse(record: &Object) -> Option<Instance> {
    let text = |name: &str| record.spec.get(name).and_then(Value::as_str);
    Some(Instance {
        name: record.name.parse().ok()?,
        address: text("address")?.parse().ok()?,
        data_centre: text("dataCentre")?.parse().ok()?,
        cpu_share: record.spec.get("power").and_then(Value::as_f64)?,
    })
}
