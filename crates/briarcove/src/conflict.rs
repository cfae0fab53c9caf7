//! Report to an operator whose change was rejected because another one was accepted first.

use std::collections::BTreeSet;

use base::Revision;
use cat::{Catalogue, Change, Head, Item};

use crate::{
    apply::print_items,
    exit::Exit,
    store::{Failure, Store},
};

/// Maximum number of other changes that are shown.
const MAX_SHOWN: u64 = 20;

/// Prints the changes that were accepted first, and how this file differs from them.
///
/// # Errors
///
/// Currently never fails: an error of the platform is printed, and the change is rejected in any
/// case.
pub(crate) async fn report(
    store: &Store,
    rejected: &Head,
    ours: &Catalogue,
) -> Result<Exit, Failure> {
    eprintln!("briarcove: another change was accepted first; nothing was changed");
    if let Err(e) = explain(store, rejected, ours).await {
        eprintln!("briarcove: failed to read the other change: {e}");
    }
    Ok(Exit::Conflict)
}

async fn explain(store: &Store, rejected: &Head, ours: &Catalogue) -> Result<(), Failure> {
    let Some(current) = store.head().await? else {
        return Ok(());
    };
    let others = others(store, rejected.revision, &current.head).await?;
    for change in &others {
        println!("revision {} of another change:", change.revision);
        print_items(change);
    }
    let Some(theirs) = store.document(&current.head.document).await? else {
        return Ok(());
    };
    let remaining = cat::diff(&theirs, ours);
    print_shared(&rejected.change, &others);
    print_remaining(current.head.revision, &remaining);
    Ok(())
}

/// Returns the changes from `first` up to the head, oldest first.
async fn others(store: &Store, first: Revision, head: &Head) -> Result<Vec<Change>, Failure> {
    let first_shown = first.0.max(head.revision.0.saturating_sub(MAX_SHOWN));
    let mut changes = Vec::new();
    for revision in first_shown..head.revision.0 {
        changes.extend(store.trail(Revision(revision)).await?);
    }
    changes.push(head.change.clone());
    Ok(changes)
}

/// Prints the entries and services that both this file and the other changes touch.
fn print_shared(own: &Change, others: &[Change]) {
    let other_items = others.iter().flat_map(|change| &change.items);
    let touched: BTreeSet<&str> = other_items.map(subject).collect();
    let shared: BTreeSet<&str> = own.items.iter().map(subject).collect();
    for name in shared.intersection(&touched) {
        println!("both changes touch {name}");
    }
}

/// Prints the changes that this file would make to the revision that is now in force.
fn print_remaining(revision: Revision, items: &[Item]) {
    if items.is_empty() {
        println!("revision {revision} is this catalogue");
        return;
    }
    println!("over revision {revision} this file would make these changes:");
    for item in items {
        println!("  {item}");
    }
}

/// Returns the path of the entry or service that an item changes, such as `entries/find-harpist`.
fn subject(item: &Item) -> &str {
    let mut slashes = item.path.match_indices('/').map(|(i, _)| i);
    match slashes.nth(1) {
        Some(end) => &item.path[..end],
        None => &item.path,
    }
}
