//! What an operator is told whose change was not accepted because another one came first.

use std::collections::BTreeSet;

use base::Revision;
use cat::{Catalogue, Change, Head, Item};

use crate::{
    apply::print_items,
    exit::Exit,
    store::{Failure, Store},
};

/// Most changes of others that are shown.
const MAX_SHOWN: u64 = 20;

/// Prints the changes that came first and how this file stands to them.
///
/// # Errors
///
/// Fails when the platform can't be asked; the change was not accepted in that case either.
pub(crate) async fn report(store: &Store, lost: &Head, ours: &Catalogue) -> Result<Exit, Failure> {
    eprintln!("briarcove: another change was accepted first; nothing was changed");
    if let Err(e) = explain(store, lost, ours).await {
        eprintln!("briarcove: the other change can't be shown: {e}");
    }
    Ok(Exit::Conflict)
}

async fn explain(store: &Store, lost: &Head, ours: &Catalogue) -> Result<(), Failure> {
    let Some(current) = store.head().await? else {
        return Ok(());
    };
    let others = others(store, lost.revision, &current.head).await?;
    for change in &others {
        println!("revision {} of another change:", change.revision);
        print_items(change);
    }
    let Some(theirs) = store.document(&current.head.document).await? else {
        return Ok(());
    };
    let remaining = cat::diff(&theirs, ours);
    print_shared(&lost.change, &others);
    print_remaining(current.head.revision, &remaining);
    Ok(())
}

/// Returns the changes from `first` up to the head, oldest first.
async fn others(store: &Store, first: Revision, head: &Head) -> Result<Vec<Change>, Failure> {
    let shown = first.0.max(head.revision.0.saturating_sub(MAX_SHOWN));
    let mut changes = Vec::new();
    for revision in shown..head.revision.0 {
        changes.extend(store.trail(Revision(revision)).await?);
    }
    changes.push(head.change.clone());
    Ok(changes)
}

/// Names the entries and services that this file and the other changes both touch.
fn print_shared(own: &Change, others: &[Change]) {
    let other_items = others.iter().flat_map(|change| &change.items);
    let touched: BTreeSet<&str> = other_items.map(subject).collect();
    let shared: BTreeSet<&str> = own.items.iter().map(subject).collect();
    for name in shared.intersection(&touched) {
        println!("both changes touch {name}");
    }
}

/// Says what this file would do to the revision that is now in force.
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

/// Returns the entry or service that an item is about, such as `entries/find-harpist`.
fn subject(item: &Item) -> &str {
    let mut slashes = item.path.match_indices('/').map(|(i, _)| i);
    match slashes.nth(1) {
        Some(end) => &item.path[..end],
        None => &item.path,
    }
}
