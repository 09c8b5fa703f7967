//! `briarquay sizing`: measures how placement, member list and document grow with the fleet.

use {
    super::Outcome,
    crate::{
        collections::{Map, Name, Set},
        coordination::{
            members::{Candidate, Change, MemberList},
            placement::Placement,
            rollout::{ChangeRecord, PackedRecord, Record},
        },
        declaration::Declaration,
        protocol::{
            generated as wire,
            message::{Digest, MemberKey, Message},
        },
        state::catalog::Catalog,
    },
    eyre::{OptionExt, Result, eyre},
    prost::Message as _,
    std::{fmt::Write as _, time::Instant},
};

/// Number of leaves that one query reaches at the intended fleet size.
const LEAVES_PER_QUERY: usize = 270;

/// Arguments of `sizing`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Fleet sizes, each as `DAEMONSxLEAVES`.
    #[arg(
        default_values = ["9x125", "30x400", "100x1000", "500x4000", "1500x11000", "4900x36000"]
    )]
    sizes: Vec<String>,
    /// Number of leaves per target; leaves of one target are placed together.
    #[arg(long, default_value_t = 2)]
    together: usize,
}

/// Measures each fleet size and prints one row for it.
pub fn execute(args: &Args) -> Result<Outcome> {
    println!(
        "{:>7} {:>7} {:>9} {:>9} {:>9} {:>11} {:>9} {:>10} {:>10} {:>8} {:>10} {:>10} {:>9} {:>8}",
        "daemons",
        "leaves",
        "place ms",
        "max/mean",
        "moved %",
        "owners met",
        "list kB",
        "doc kB",
        "packed kB",
        "diff B",
        "parse ms",
        "index ms",
        "heap MB",
        "digest"
    );
    for size in &args.sizes {
        let (daemons, leaves) = size
            .split_once('x')
            .ok_or_eyre("a size has the form DAEMONSxLEAVES")?;
        measure_size(daemons.parse()?, leaves.parse()?, args.together)?;
    }
    Ok(Outcome::Done)
}

fn measure_size(daemons: usize, leaves: usize, together: usize) -> Result<()> {
    let list = member_list(daemons);
    let document = document(leaves, together)?;
    let started = Instant::now();
    let declaration = serde_yaml_ng::from_str::<Declaration>(&document)?;
    let parse_ms = started.elapsed().as_secs_f64() * 1e3;
    let before = resident_kb();
    let started = Instant::now();
    let catalog = Catalog::new(1, &declaration);
    let index_ms = started.elapsed().as_secs_f64() * 1e3;
    let heap_kb = resident_kb().saturating_sub(before);
    let started = Instant::now();
    let placement = Placement::new(&list, &catalog);
    let place_ms = started.elapsed().as_secs_f64() * 1e3;
    let record = record(&document).to_value();
    let (whole, difference) = packed_bytes(&document)?;
    println!(
        "{daemons:>7} {leaves:>7} {place_ms:>9.2} {:>9.2} {:>9.2} {:>11.1} {:>9.1} {:>10.1} {:>10.1} {:>8} {parse_ms:>10.2} {index_ms:>10.2} {:>9.1} {:>8}",
        max_to_mean(&placement, &catalog, daemons),
        moved_percent(&list, &placement, &catalog),
        mean_owners(&placement, &catalog),
        kilobytes(list.to_value().len()),
        kilobytes(record.len()),
        kilobytes(whole),
        difference,
        kilobytes(usize::try_from(heap_kb)?),
        digest_bytes(),
    );
    Ok(())
}

fn member_list(daemons: usize) -> MemberList {
    let mut list = MemberList::default();
    for number in 0..daemons {
        let [high, low] = u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes();
        let candidate = Candidate {
            id: format!("entry-{number}").into(),
            address: ([10, 0, high, low], 7_401).into(),
            domain: format!("domain-{}", number % 14).into(),
        };
        // Choosing witnesses at each of thousands of joins takes long and is not measured, so
        // later members copy the witnesses of the first 64.
        if number < 64 {
            list = list.after(&Change::Join(candidate)).unwrap_or(list);
        } else {
            let mut member = list.members[number % 64].clone();
            member.key = MemberKey {
                id: candidate.id,
                term: list.epoch + 1,
            };
            member.address = candidate.address;
            list.epoch += 1;
            list.members.push(member);
        }
    }
    list.members.sort_by(|a, b| a.key.cmp(&b.key));
    list
}

fn document(leaves: usize, together: usize) -> Result<String> {
    let shards = (leaves / 2).max(1);
    let mut text = format!(
        "name: sizing\ndomains: [{{name: domain-0}}]\nservices:\n  - name: search\n    shards: {shards}\n    limits: {{slots: 2, connections: 25}}\n    targets:\n"
    );
    for target in 0..leaves / together {
        write!(
            text,
            "      - {{name: t-{target}, domain: domain-0, leaves: ["
        )?;
        for index in 0..together {
            let leaf = target * together + index;
            let [_, high, middle, low] = u32::try_from(leaf)?.to_be_bytes();
            let shard = leaf % shards;
            write!(
                text,
                "{{shard: {shard}, address: \"10.{high}.{middle}.{low}:7000\"}}, "
            )?;
        }
        writeln!(text, "]}}")?;
    }
    Ok(text)
}

fn record(document: &str) -> Record {
    Record {
        revision: 1,
        document: document.to_owned(),
        changes: vec![ChangeRecord {
            id: "0123456789abcdef".into(),
            revision: 1,
            base: 0,
            who: "operator".to_owned(),
            why: "sizing".to_owned(),
            at_ms: 0,
        }],
        archives: 0,
    }
}

/// Returns the largest number of leaves of a daemon as a multiple of the mean.
fn max_to_mean(placement: &Placement, catalog: &Catalog, daemons: usize) -> f64 {
    let mut load: Map<&Name, u32> = Map::default();
    let excluded = Set::default();
    for leaf in catalog.leaves.keys() {
        if let Some(owner) = placement.owner(*leaf, &excluded) {
            *load.entry(owner).or_default() += 1;
        }
    }
    let most = load.values().copied().max().unwrap_or(0);
    f64::from(most) * to_f64(daemons) / to_f64(catalog.leaves.len())
}

/// Returns the share of leaves whose owner changes when one member leaves, percent. The leaves
/// of that member are the minimum.
fn moved_percent(list: &MemberList, before: &Placement, catalog: &Catalog) -> f64 {
    let removed = list.members[list.members.len() / 2].key.clone();
    let Some(smaller) = list.after(&Change::Remove(vec![removed])) else {
        return 0.0;
    };
    let after = Placement::new(&smaller, catalog);
    let excluded = Set::default();
    let moved = catalog
        .leaves
        .keys()
        .filter(|leaf| before.owner(**leaf, &excluded) != after.owner(**leaf, &excluded))
        .count();
    100.0 * to_f64(moved) / to_f64(catalog.leaves.len())
}

/// Returns the mean number of owners that one query reaches. A query reaches the leaves of
/// consecutive targets.
fn mean_owners(placement: &Placement, catalog: &Catalog) -> f64 {
    let excluded = Set::default();
    let leaves: Vec<_> = catalog.targets.iter().flat_map(|one| &one.leaves).collect();
    let queries: Vec<usize> = leaves
        .chunks(LEAVES_PER_QUERY)
        .map(|query| {
            let owners: Set<&Name> = query
                .iter()
                .filter_map(|leaf| placement.owner(**leaf, &excluded))
                .collect();
            owners.len()
        })
        .collect();
    to_f64(queries.iter().sum()) / to_f64(queries.len())
}

/// Returns the bytes of a packed record: in full, and as the difference from a record in which
/// the state of one domain differs.
fn packed_bytes(document: &str) -> Result<(usize, usize)> {
    let previous = record(document).to_value();
    let changed = document.replace("{name: domain-0}", "{name: domain-0, state: out}");
    let next = record(&changed).to_value();
    let whole = PackedRecord::new(2, next.as_bytes(), None)?;
    let difference = PackedRecord::new(2, next.as_bytes(), Some((1, previous.as_bytes())))?;
    Ok((whole.bytes.len(), difference.bytes.len()))
}

fn digest_bytes() -> usize {
    wire::Message::from(Message::Digest(Digest {
        epoch: 1_000,
        revision: 1_000,
        leased: true,
        ..Digest::default()
    }))
    .encoded_len()
}

/// Returns the resident memory of this process, kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .ok_or_else(|| eyre!("no VmRSS"))
        .unwrap_or(0)
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn to_f64(number: usize) -> f64 {
    number as f64
}

fn kilobytes(bytes: usize) -> f64 {
    to_f64(bytes) / 1_000.0
}
