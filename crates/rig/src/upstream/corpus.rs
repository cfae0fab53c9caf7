//! Generated documents, with an inverted index for each shard.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SUBJECTS: [&str; 8] = [
    "the harpist",
    "a male voice choir",
    "the ceilidh band",
    "a soprano with harp",
    "the court reporter",
    "the prosecutor's clerk",
    "an advocate for the defence",
    "the presiding judge",
];
const VERBS: [&str; 8] = [
    "plays a slow air for",
    "is free in June for",
    "rehearses two hymns before",
    "travels with a small amplifier to",
    "asks for the certified transcript of",
    "cites the second session of",
    "lodged an appeal after",
    "corrected the record of",
];
const OBJECTS: [&str; 8] = [
    "a wedding",
    "an evening reception",
    "the signing of the register",
    "a christening",
    "the custody hearing",
    "the fraud trial",
    "a witness examination",
    "the sentencing",
];
const PLACES: [&str; 8] = [
    "in Cardiff",
    "near Swansea",
    "at Brecon",
    "in Newport",
    "at the Riga regional court",
    "in Jelgava",
    "before the appeal chamber",
    "at Cesis",
];
/// Maximum number of cached replies per shard.
const MAX_CACHED: usize = 256;
/// Weight of a term that every document contains.
const BASE_WEIGHT: u64 = 1;

/// The documents of one service, partitioned into the shards of each snapshot.
pub(super) struct Corpus {
    shards: HashMap<(u64, Box<str>), Rc<ShardIndex>>,
}

impl Corpus {
    /// Generates `count` documents from `seed` and indexes them for every snapshot of `index`.
    pub(super) fn new(index: &cat::Index, count: u32, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let texts: Vec<Rc<str>> = (0..count).map(|_| sentence(&mut rng).into()).collect();
        let weights = Rc::new(weights(&texts));
        let mut shards = HashMap::new();
        for snapshot in &index.snapshots {
            let mut parts = vec![Vec::new(); snapshot.shards.len()];
            for (id, text) in (0_u32..).zip(&texts) {
                let hash = xxh3_64_with_seed(&id.to_le_bytes(), snapshot.id.0);
                if let Some(part) = part_for_hash(&mut parts, hash) {
                    part.push((id, Rc::clone(text)));
                }
            }
            for (shard, documents) in snapshot.shards.iter().zip(parts) {
                let built = ShardIndex::new(snapshot.id.0, documents, Rc::clone(&weights));
                let key = (snapshot.id.0, shard.name.as_str().into());
                shards.insert(key, Rc::new(built));
            }
        }
        Self { shards }
    }

    /// Returns the index of one shard of a snapshot.
    pub(super) fn shard(&self, snapshot: u64, name: &str) -> Option<Rc<ShardIndex>> {
        self.shards.get(&(snapshot, name.into())).cloned()
    }
}

fn part_for_hash<T>(parts: &mut [T], hash: u64) -> Option<&mut T> {
    let count = u64::try_from(parts.len()).ok().filter(|n| *n > 0)?;
    parts.get_mut(usize::try_from(hash % count).ok()?)
}

fn sentence(rng: &mut StdRng) -> String {
    let mut word = |words: &[&'static str; 8]| words[rng.random_range(0..words.len())];
    format!(
        "{} {} {} {}",
        word(&SUBJECTS),
        word(&VERBS),
        word(&OBJECTS),
        word(&PLACES)
    )
}

/// Computes the weight of each term; the fewer documents contain a term, the greater its weight.
fn weights(texts: &[Rc<str>]) -> HashMap<Box<str>, u64> {
    let mut document_counts: HashMap<Box<str>, usize> = HashMap::new();
    for text in texts {
        for term in term_counts(text).into_keys() {
            *document_counts.entry(term).or_default() += 1;
        }
    }
    let weight_of =
        |document_count: usize| BASE_WEIGHT + u64::from((texts.len() / document_count).ilog2());
    document_counts
        .into_iter()
        .map(|(t, n)| (t, weight_of(n)))
        .collect()
}

fn term_counts(text: &str) -> BTreeMap<Box<str>, u64> {
    let mut counts = BTreeMap::new();
    let words = text.split(|c: char| !c.is_alphanumeric());
    for word in words.filter(|word| !word.is_empty()) {
        *counts.entry(word.to_lowercase().into()).or_default() += 1;
    }
    counts
}

/// A hit in a reply. Its id contains the snapshot, so that tests detect mixed answers.
#[derive(Serialize)]
struct Hit<'a> {
    id: Box<str>,
    score: u64,
    text: &'a str,
}

/// Documents that contain a term: positions in the shard's list of documents, with term counts.
type Postings = Vec<(usize, u64)>;

/// Inverted index of one shard.
pub(super) struct ShardIndex {
    snapshot: u64,
    documents: Vec<(u32, Rc<str>)>,
    postings: HashMap<Box<str>, Postings>,
    weights: Rc<HashMap<Box<str>, u64>>,
    cache: RefCell<HashMap<Bytes, (usize, Bytes)>>,
}

impl ShardIndex {
    fn new(
        snapshot: u64,
        documents: Vec<(u32, Rc<str>)>,
        weights: Rc<HashMap<Box<str>, u64>>,
    ) -> Self {
        let mut postings: HashMap<Box<str>, Postings> = HashMap::new();
        for (position, (_, text)) in documents.iter().enumerate() {
            for (term, count) in term_counts(text) {
                postings.entry(term).or_default().push((position, count));
            }
        }
        Self {
            snapshot,
            documents,
            postings,
            weights,
            cache: RefCell::default(),
        }
    }

    /// Returns the reply body for `query`, with up to `limit` hits.
    pub(super) fn search(&self, query: &Bytes, limit: usize) -> Bytes {
        if let Some((cached_limit, body)) = self.cache.borrow().get(query)
            && *cached_limit == limit
        {
            return body.clone();
        }
        let body = Bytes::from(self.reply(&query_text(query), limit));
        let mut cache = self.cache.borrow_mut();
        if cache.len() >= MAX_CACHED {
            cache.clear();
        }
        cache.insert(query.clone(), (limit, body.clone()));
        body
    }

    fn reply(&self, query: &str, limit: usize) -> Vec<u8> {
        let mut scores: BTreeMap<usize, u64> = BTreeMap::new();
        for term in term_counts(query).into_keys() {
            let weight = self.weights.get(&term).copied().unwrap_or_default();
            for (position, count) in self.postings.get(&term).into_iter().flatten() {
                *scores.entry(*position).or_default() += weight * count;
            }
        }
        let mut ranked: Vec<_> = scores.into_iter().collect();
        ranked.sort_by_key(|&(position, score)| (std::cmp::Reverse(score), position));
        let hits = ranked.iter().take(limit).map(|&(position, score)| {
            let (id, text) = &self.documents[position];
            Hit {
                id: format!("{}-{id}", self.snapshot).into(),
                score,
                text,
            }
        });
        serde_json::to_vec(&hits.collect::<Vec<_>>()).unwrap_or_default()
    }
}

/// Returns the field `query` of a JSON body, or the whole body if it is not such JSON.
fn query_text(body: &[u8]) -> Box<str> {
    #[derive(serde::Deserialize)]
    struct Query {
        query: Box<str>,
    }
    match serde_json::from_slice::<Query>(body) {
        Ok(query) => query.query,
        Err(_) => String::from_utf8_lossy(body).into(),
    }
}
