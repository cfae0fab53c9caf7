//! The `apply` command: puts a catalogue in force.
//!
//! A change is accepted only by the conditional update of `catalogue/head`. The objects that the
//! head refers to are stored first: the document, and the audit record of the revision that it
//! replaces.

use std::time::{SystemTime, UNIX_EPOCH};

use base::Revision;
use cat::{Catalogue, Change, Findings, Head};

use crate::{
    args::Apply,
    check, conflict,
    exit::Exit,
    store::{Acceptance, Current, Failure, Store},
};

/// Validates a catalogue and puts it in force.
pub async fn run(args: Apply) -> Exit {
    let (catalogue, warnings) = match check::load_catalogue(&args.catalogue) {
        Ok(loaded) => loaded,
        Err(e) => return e.report(),
    };
    match apply(&args, &catalogue, &warnings).await {
        Ok(exit) => exit,
        Err(e) => e.report(),
    }
}

async fn apply(args: &Apply, ours: &Catalogue, warnings: &Findings) -> Result<Exit, Failure> {
    let store = Store::new(args.platform)?;
    let current = store.head().await?;
    let revision = current_revision(current.as_ref());
    if let Some(expect) = args.expect.filter(|&expect| expect != revision) {
        eprintln!("briarcove: revision {revision} is in force, not {expect}; nothing was changed");
        return Ok(Exit::Conflict);
    }
    check::print_findings(warnings);
    if current
        .as_ref()
        .is_some_and(|c| c.head.document == ours.digest())
    {
        println!("nothing to do: revision {revision} is this catalogue");
        return Ok(Exit::Ok);
    }
    let change = build_change(&store, current.as_ref(), ours).await?;
    println!("revision {revision} -> {}", change.revision);
    print_items(&change);
    if args.dry_run {
        println!("dry run: nothing was changed");
        return Ok(Exit::Ok);
    }
    put_in_force(&store, current.as_ref(), ours, &Head::new(change)).await
}

/// Returns the revision in force, or 0 before the first one.
fn current_revision(current: Option<&Current>) -> Revision {
    current.map_or(Revision::default(), |c| c.head.revision)
}

/// Computes the change from the catalogue in force to `ours`.
async fn build_change(
    store: &Store,
    current: Option<&Current>,
    ours: &Catalogue,
) -> Result<Change, Failure> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let at = now.unwrap_or_default().as_secs();
    let Some(Current { head, .. }) = current else {
        return Ok(Change::between(Revision(1), None, ours, at));
    };
    let theirs = match store.document(&head.document).await {
        Ok(found) => found,
        Err(e @ Failure::Invalid { .. }) => {
            eprintln!("briarcove: {e}");
            None
        }
        Err(e) => return Err(e),
    };
    if theirs.is_none() {
        eprintln!("briarcove: the catalogue in force can't be read; listing everything as added");
    }
    let mut change = Change::between(head.revision.next(), theirs.as_ref(), ours, at);
    change.from = Some(head.document.clone());
    Ok(change)
}

/// Prints the items of a change, one on each line.
pub(crate) fn print_items(change: &Change) {
    for item in &change.items {
        println!("  {item}");
    }
    if change.omitted > 0 {
        println!("  and {} more", change.omitted);
    }
}

async fn put_in_force(
    store: &Store,
    current: Option<&Current>,
    ours: &Catalogue,
    next: &Head,
) -> Result<Exit, Failure> {
    store.store_document(ours).await?;
    if let Some(current) = current {
        store.store_trail(&current.head).await?;
    }
    let revision = next.revision;
    match store.accept(current, next).await? {
        Acceptance::Accepted => {
            println!("accepted: revision {revision} is in force");
            Ok(Exit::Ok)
        }
        Acceptance::Superseded => conflict::report(store, next, ours).await,
        Acceptance::Unknown => {
            eprintln!(
                "briarcove: the reply was lost and the platform can't be reached: revision \
                 {revision} may be in force or may still come into force; run apply again to \
                 find out"
            );
            Ok(Exit::Unknown)
        }
    }
}
