//! Validation of a declaration: finds its problems and their places in the document.

use {
    super::{Aim, CONNECTIONS_LIMIT, DEADLINE_LIMIT_MS, Declaration, SLOTS_LIMIT, Service, Target},
    crate::collections::{Map, Set},
    std::{fmt, net::SocketAddr},
};

/// A problem of a declaration and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field, for example `services.cobros.limits.slots`.
    pub path: String,
    /// What is invalid and what would be valid.
    pub message: String,
    /// Line in the document, from 1, if known.
    pub line: Option<usize>,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)?;
        if let Some(line) = self.line {
            write!(formatter, " (line {line})")?;
        }
        Ok(())
    }
}

impl Problem {
    pub(super) fn of_document(message: String) -> Self {
        Self {
            path: "document".to_owned(),
            message,
            line: None,
        }
    }

    pub(super) fn syntax(error: &serde_yaml_ng::Error) -> Self {
        Self {
            path: "document".to_owned(),
            message: error.to_string(),
            line: error.location().map(|location| location.line()),
        }
    }
}

/// Collects the problems of the document `text`.
struct Validator<'a> {
    text: &'a str,
    problems: Vec<Problem>,
}

/// Returns all problems of `declaration`, which was parsed from `text`.
pub(super) fn find_problems(declaration: &Declaration, text: &str) -> Vec<Problem> {
    let mut validator = Validator {
        text,
        problems: Vec::new(),
    };
    validator.check_names(declaration);
    validator.check_addresses(declaration);
    for service in &declaration.services {
        validator.check_limits(service);
        validator.check_policy(service);
        validator.check_shards(service);
        for target in &service.targets {
            validator.check_target(declaration, service, target);
        }
    }
    validator.problems
}

impl Validator<'_> {
    fn add_problem(&mut self, path: &[&str], message: String) {
        self.problems.push(Problem {
            path: path.join("."),
            message,
            line: line_of(self.text, path),
        });
    }

    fn check_names(&mut self, declaration: &Declaration) {
        if declaration.domains.is_empty() {
            self.add_problem(&["domains"], "none declared; name at least one".to_owned());
        }
        let domains = declaration.domains.iter().map(|domain| &*domain.name);
        self.check_unique("domains", domains);
        let services = declaration.services.iter().map(|service| &*service.name);
        self.check_unique("services", services);
        let targets = declaration
            .services
            .iter()
            .flat_map(|service| service.targets.iter().map(|target| &*target.name));
        self.check_unique("targets", targets);
    }

    fn check_unique<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = Set::default();
        for name in names {
            if !is_name(name) {
                let message = "not a name; use 1 to 64 of a-z, 0-9 and -".to_owned();
                self.add_problem(&[kind, name], message);
            }
            if !seen.insert(name) {
                self.add_problem(&[kind, name], "named twice; names are unique".to_owned());
            }
        }
    }

    fn check_addresses(&mut self, declaration: &Declaration) {
        let mut seen: Map<SocketAddr, &str> = Map::default();
        for service in &declaration.services {
            for target in &service.targets {
                for leaf in &target.leaves {
                    if let Some(first) = seen.insert(leaf.address, &target.name) {
                        let message = format!("{} is already an address of {first}", leaf.address);
                        self.add_problem(
                            &["services", &service.name, &target.name, "leaves"],
                            message,
                        );
                    }
                }
            }
        }
    }

    fn check_limits(&mut self, service: &Service) {
        let limits = service.limits;
        self.check_range(
            service,
            "slots",
            limits.slots.into(),
            1..=SLOTS_LIMIT.into(),
        );
        self.check_range(
            service,
            "connections",
            limits.connections.into(),
            limits.slots.into()..=CONNECTIONS_LIMIT.into(),
        );
        self.check_range(
            service,
            "connect_cost_ms",
            limits.connect_cost_ms,
            0..=10_000,
        );
        let bears = 1..=limits.slots.max(1).into();
        self.check_range(service, "bears", service.cold.bears.into(), bears);
        self.check_range(
            service,
            "warm_after",
            service.cold.warm_after.into(),
            1..=1_000_000,
        );
    }

    fn check_policy(&mut self, service: &Service) {
        self.check_range(
            service,
            "percentile",
            service.hedge.percentile.into(),
            0..=99,
        );
        self.check_range(
            service,
            "budget_percent",
            service.hedge.budget_percent.into(),
            0..=100,
        );
        self.check_range(
            service,
            "after_ms",
            service.hedge.after_ms,
            0..=DEADLINE_LIMIT_MS,
        );
        let deadlines = service.deadlines;
        self.check_range(
            service,
            "longest_ms",
            deadlines.longest_ms,
            1..=DEADLINE_LIMIT_MS,
        );
        self.check_range(
            service,
            "default_ms",
            deadlines.default_ms,
            1..=deadlines.longest_ms,
        );
        if let Aim::Latency { enough_percent } = service.aim {
            self.check_range(service, "enough_percent", enough_percent.into(), 1..=100);
        }
    }

    fn check_range(
        &mut self,
        service: &Service,
        field: &str,
        value: u64,
        allowed: std::ops::RangeInclusive<u64>,
    ) {
        if !allowed.contains(&value) {
            let message = format!(
                "{value} is not allowed; use {} to {}",
                allowed.start(),
                allowed.end()
            );
            self.add_problem(&["services", &service.name, field], message);
        }
    }

    fn check_shards(&mut self, service: &Service) {
        if service.shards == 0 || service.shards > 100_000 {
            let message = format!("{} is not allowed; use 1 to 100000", service.shards);
            self.add_problem(&["services", &service.name, "shards"], message);
            return;
        }
        let held: Set<u32> = service
            .targets
            .iter()
            .flat_map(|target| target.leaves.iter().map(|leaf| leaf.shard))
            .collect();
        for shard in (0..service.shards).filter(|shard| !held.contains(shard)) {
            let message = format!("shard {shard} has no replica; give it a leaf");
            self.add_problem(&["services", &service.name, "targets"], message);
        }
    }

    fn check_target(&mut self, declaration: &Declaration, service: &Service, target: &Target) {
        let path = ["services", &*service.name, &*target.name];
        let is_known = declaration
            .domains
            .iter()
            .any(|domain| domain.name == target.domain);
        if !is_known {
            let message = format!("domain {} is not declared under domains", target.domain);
            self.add_problem(&[path[0], path[1], path[2], "domain"], message);
        }
        if target.leaves.is_empty() {
            self.add_problem(&path, "no leaves; give it at least one".to_owned());
        }
        let mut seen = Set::default();
        for leaf in &target.leaves {
            if leaf.shard >= service.shards {
                let message = format!(
                    "shard {} of {}; shards count from 0",
                    leaf.shard, service.shards
                );
                self.add_problem(&[path[0], path[1], path[2], "shard"], message);
            }
            if !seen.insert(leaf.shard) {
                let message = format!("shard {} stands twice", leaf.shard);
                self.add_problem(&[path[0], path[1], path[2], "shard"], message);
            }
            if leaf.address.port() == 0 || leaf.address.ip().is_unspecified() {
                let message = format!("{} can't be reached; use an IP and a port", leaf.address);
                self.add_problem(&[path[0], path[1], path[2], "address"], message);
            }
        }
    }
}

fn is_name(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-')
}

/// Returns the line of the last part of `path`. Each part is searched from the line of the part
/// before it; one that isn't in the text, such as a default, has the line of its parent.
fn line_of(text: &str, path: &[&str]) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let mut from = 0;
    let mut found = None;
    for part in path {
        let below = lines[from..].iter().position(|line| has_word(line, part));
        if let Some(offset) = below {
            from += offset;
            found = Some(from + 1);
        }
    }
    found
}

fn has_word(line: &str, word: &str) -> bool {
    let is_part = |c: char| c.is_alphanumeric() || c == '-' || c == '_';
    line.split(|c| !is_part(c)).any(|part| part == word)
}
