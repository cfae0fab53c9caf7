//! Registration: the records that instances keep of themselves in the store.

use std::{
    cmp::Reverse,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{net::TcpStream, time::timeout};
use platform::{
    Position, Store,
    objects::{Object, Objects},
    store::{Error, Freshness},
};
use serde_json::{Value, json};
use slog::{info, warn};
use tier::{Event, Instance, ProtocolLevel, watchers};

use super::Sync;

/// Kind of the instances' records.
const INSTANCES_KIND: &str = "briarcove-instances";

/// Largest CPU share that a record may name, in cores; no machine has more. The shares of limits and
/// budgets are divided by the sum of all.
const MAX_CPU_SHARE: f64 = 1_024.0;

/// Maximum number of instances that one check tries to connect to.
const MAX_TRIED_RECORDS: usize = 4;

/// Time limit for a connection to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of checks with a failed connection after which an instance is considered gone: together
/// they take longer than a network partition or a paused process usually lasts.
const MAX_FAILED_TRIES: u32 = 8;

/// Lists the instances' records and reports the instances to the reducer; `None` when the store
/// fails.
pub(super) async fn read(
    sync: &Sync,
    store: &mut Store,
    freshness: Freshness,
) -> Option<Vec<Object>> {
    let listed = match store.list(INSTANCES_KIND, freshness).await {
        Ok(listed) => listed,
        Err(e) => {
            warn!(sync.shell.log, "failed to list the instances' records"; "error" => %e);
            return None;
        }
    };
    sync.report_unreadable(INSTANCES_KIND, &listed.unreadable);
    sync.note_era();
    sync.note_records_position(&listed);
    let records = listed.objects;
    let instances = parse_all(&sync.with_former_records(&records));
    sync.instance_count.set(instances.len());
    let own = sync.shell.cfg.borrow().instance.clone();
    *sync.candidates.borrow_mut() = watchers::candidates(&instances, &own);
    sync.shell.dispatch(Event::Instances(instances));
    Some(records)
}

/// Creates the record of this instance; returns whether it exists afterwards.
pub(super) async fn register(sync: &Sync, store: &mut Store) -> bool {
    let name = sync.shell.cfg.borrow().instance.clone();
    match store.create(INSTANCES_KIND, &name, sync.record()).await {
        Ok(()) | Err(Error::Conflict) => true,
        Err(e) => {
            warn!(sync.shell.log, "failed to create this instance's record"; "error" => %e);
            false
        }
    }
}

/// Checks all records: updates this instance's record and removes those of instances that are gone.
///
/// Returns false when this instance's record has to be created again.
pub(super) async fn check(sync: &Rc<Sync>, store: &mut Store) -> bool {
    let Some(records) = read(sync, store, Freshness::Stale).await else {
        return true;
    };
    if sync.roles_known.get() && !sync.is_following.get() {
        remove_unreachable(sync, store, &records).await;
    }
    let name = sync.shell.cfg.borrow().instance.clone();
    let Some(own) = records.iter().find(|record| record.name == name) else {
        // It may only be missing because the list is stale; creating it again is harmless then.
        return false;
    };
    if own.spec != sync.record() {
        let renewed = store.replace(INSTANCES_KIND, &name, own.revision, sync.record());
        if let Err(e) = renewed.await {
            warn!(sync.shell.log, "failed to update this instance's record"; "error" => %e);
        }
    }
    true
}

/// Returns whether this instance's record is listed.
pub(super) fn has_own(sync: &Sync, records: &[Object]) -> bool {
    let cfg = sync.shell.cfg.borrow();
    let has_own = records.iter().any(|record| record.name == cfg.instance);
    if !has_own {
        info!(
            sync.shell.log,
            "the store has lost this instance's record; writing it again"
        );
    }
    has_own
}

/// Removes the records of unreachable instances. An instance that is still alive creates its record
/// again.
async fn remove_unreachable(sync: &Rc<Sync>, store: &mut Store, records: &[Object]) {
    let own = sync.shell.cfg.borrow().instance.clone();
    let others = records.iter().filter(|record| record.name != own);
    let mut tried: Vec<&Object> = {
        let unreachable = sync.unreachable.borrow();
        let suspects = others
            .clone()
            .filter(|record| unreachable.contains_key(&record.name));
        suspects.take(MAX_TRIED_RECORDS).collect()
    };
    if tried.is_empty() {
        tried = sync.shell.sample(others, MAX_TRIED_RECORDS);
    }
    let current = parse_all(records);
    let mut has_removed = false;
    for record in tried {
        let instance = parse(record);
        let is_newest = |it: &Instance| current.iter().any(|known| known == it);
        let is_reachable = match instance.filter(is_newest) {
            Some(instance) => {
                let connect = TcpStream::connect(instance.address);
                matches!(timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_)))
            }
            // A newer record has the same address, or the record cannot be parsed.
            None => false,
        };
        if is_reachable {
            sync.unreachable.borrow_mut().remove(&record.name);
            continue;
        }
        let failures = {
            let mut unreachable = sync.unreachable.borrow_mut();
            let failures = unreachable.entry(record.name.clone()).or_default();
            *failures += 1;
            *failures
        };
        if failures < MAX_FAILED_TRIES {
            continue;
        }
        sync.unreachable.borrow_mut().remove(&record.name);
        match store
            .remove(INSTANCES_KIND, &record.name, record.revision)
            .await
        {
            Ok(()) | Err(Error::Conflict) => {
                has_removed = true;
                info!(sync.shell.log, "removed the record of an instance that is gone";
                    "instance" => &*record.name);
            }
            Err(e) => warn!(sync.shell.log, "failed to remove an instance's record"; "error" => %e),
        }
    }
    if has_removed {
        // A removal leaves no object behind that has its revision. The counter changes this
        // instance's record, and the other instances can see the revision of that write.
        sync.removals.set(sync.removals.get() + 1);
    }
    let names: Vec<&str> = records.iter().map(|record| &*record.name).collect();
    let mut unreachable = sync.unreachable.borrow_mut();
    unreachable.retain(|name, _| names.contains(&&**name));
}

impl Sync {
    /// Returns the record of this instance.
    fn record(&self) -> Value {
        let cfg = self.shell.cfg.borrow();
        json!({"dataCentre": &*cfg.data_centre, "address": cfg.peers.to_string(),
            "power": cfg.cpu_share, "removals": self.removals.get(),
            "protocol": ProtocolLevel::CURRENT.0})
    }

    /// Records the position of the newest of listed objects that instances have written.
    pub(super) fn note_records_position(&self, listed: &Objects) {
        let newest = listed.objects.iter().map(|record| record.revision).max();
        let newest = Position {
            era: listed.position.era,
            revision: newest.unwrap_or(0),
        };
        self.records_position
            .set(self.records_position.get().max(newest));
    }

    /// Returns listed records and, for a while after a rise of the era, those from before it that
    /// the store has lost. Without them, the shares of this instance in the common limits would be
    /// too large until all have written theirs again.
    fn with_former_records(&self, listed: &[Object]) -> Vec<Object> {
        let mut former = self.former_records.borrow_mut();
        let mut records = listed.to_vec();
        match former.1 {
            Some(until) if Instant::now() < until => {
                let is_lost = |it: &&Object| listed.iter().all(|known| known.name != it.name);
                records.extend(former.0.iter().filter(is_lost).cloned());
            }
            _ => *former = (records.clone(), None),
        }
        records
    }
}

/// Parses records. Of several records with one address only the newest counts, as a new instance
/// may get the address of one that is gone.
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
        cpu_share: record
            .spec
            .get("power")
            .and_then(Value::as_f64)
            .filter(|share| (0.0..=MAX_CPU_SHARE).contains(share))?,
        // Builds that name no level speak the lowest.
        protocol: ProtocolLevel(
            record
                .spec
                .get("protocol")
                .and_then(Value::as_u64)
                .map_or(0, |level| u32::try_from(level).unwrap_or(u32::MAX)),
        ),
    })
}
