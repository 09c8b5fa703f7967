//! `briarquay plan`: describes what a declaration would change.

use {
    super::{
        Outcome,
        client::{Operator, Output, print_json},
    },
    crate::{
        collections::Name,
        declaration::{Declaration, Service, Target},
    },
    eyre::{Result, WrapErr},
    serde::Serialize,
    std::{fmt::Debug, path::PathBuf},
};

/// Arguments of `plan`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Declaration (YAML).
    file: PathBuf,
    #[command(flatten)]
    operator: Operator,
}

#[derive(Serialize)]
struct Report {
    base: u64,
    changes: Vec<String>,
}

/// Compares the file with the document in force and prints the changes.
pub async fn execute(args: Args) -> Result<Outcome> {
    let text = std::fs::read_to_string(&args.file)
        .wrap_err_with(|| format!("read {}", args.file.display()))?;
    let wanted = match Declaration::parse(&text) {
        Ok(wanted) => wanted,
        Err(problems) => {
            println!("{problems}");
            return Ok(Outcome::Invalid);
        }
    };
    let in_force = args.operator.in_force().await?;
    let current = Declaration::parse(&in_force.document).ok();
    let changes = describe_changes(current.as_ref(), &wanted);
    match args.operator.output {
        Output::Json => print_json(&Report {
            base: in_force.revision,
            changes,
        })?,
        Output::Text => {
            println!("base revision {}", in_force.revision);
            if changes.is_empty() {
                println!("nothing would change");
            }
            for change in &changes {
                println!("- {change}");
            }
        }
    }
    Ok(Outcome::Done)
}

/// Describes each change from `current` to `wanted` in one line.
fn describe_changes(current: Option<&Declaration>, wanted: &Declaration) -> Vec<String> {
    let Some(current) = current else {
        return vec![format!(
            "first declaration: {} services in {} domains",
            wanted.services.len(),
            wanted.domains.len()
        )];
    };
    let mut changes = Vec::new();
    let domains = |declaration: &Declaration| {
        let domains = declaration.domains.iter();
        domains
            .map(|domain| (domain.name.clone(), domain.state))
            .collect::<Vec<_>>()
    };
    compare_entries("domain", &domains(current), &domains(wanted), &mut changes);
    for service in &current.services {
        if wanted.service(&service.name).is_none() {
            changes.push(format!("service {} goes away", service.name));
        }
    }
    for service in &wanted.services {
        match current.service(&service.name) {
            None => changes.push(format!(
                "service {} is new: {} shards at {} targets",
                service.name,
                service.shards,
                service.targets.len()
            )),
            Some(before) => compare_services(before, service, &mut changes),
        }
    }
    changes
}

fn compare_services(before: &Service, after: &Service, changes: &mut Vec<String>) {
    let name = &after.name;
    let mut field = |what: &str, old: &dyn Debug, new: &dyn Debug| {
        let (old, new) = (format!("{old:?}"), format!("{new:?}"));
        if old != new {
            changes.push(format!("service {name}: {what} from {old} to {new}"));
        }
    };
    field("layout", &before.layout, &after.layout);
    field("shards", &before.shards, &after.shards);
    field("aim", &before.aim, &after.aim);
    field("idempotent", &before.idempotent, &after.idempotent);
    field("limits", &before.limits, &after.limits);
    field("cold start", &before.cold, &after.cold);
    field("hedging", &before.hedge, &after.hedge);
    field("deadlines", &before.deadlines, &after.deadlines);
    field("canary", &before.canary, &after.canary);
    let targets = |service: &Service| {
        let targets = service.targets.iter();
        targets
            .map(|target| (target.name.clone(), describe_target(target)))
            .collect::<Vec<_>>()
    };
    let kind = format!("service {name}: target");
    compare_entries(&kind, &targets(before), &targets(after), changes);
}

fn describe_target(target: &Target) -> String {
    let leaves: Vec<String> = target
        .leaves
        .iter()
        .map(|leaf| format!("{}@{}", leaf.shard, leaf.address))
        .collect();
    format!(
        "{:?} in {} [{}]",
        target.state,
        target.domain,
        leaves.join(", ")
    )
}

/// Appends the differences between two lists of named entries.
fn compare_entries<T: PartialEq + Debug>(
    kind: &str,
    before: &[(Name, T)],
    after: &[(Name, T)],
    changes: &mut Vec<String>,
) {
    let find = |list: &[(Name, T)], name: &Name| list.iter().position(|(one, _)| one == name);
    for (name, _) in before
        .iter()
        .filter(|(name, _)| find(after, name).is_none())
    {
        changes.push(format!("{kind} {name} goes away"));
    }
    for (name, new) in after {
        match find(before, name).map(|index| &before[index].1) {
            None => changes.push(format!("{kind} {name} is new: {new:?}")),
            Some(old) if old != new => {
                changes.push(format!("{kind} {name} from {old:?} to {new:?}"));
            }
            Some(_) => {}
        }
    }
}
