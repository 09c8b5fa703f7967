//! Tests of the whole, grouped by feature.

mod admission;
mod allowance;
mod callers;
mod checkers;
mod cluster;
mod configuration;
mod cuts;
mod divide;
mod faults;
mod fixtures;
mod follow;
mod merge;
mod output;
mod ownership;
mod parts;
mod policy;
mod processes;
mod roster;
mod settings;
mod snapshots;
mod support;
mod targets;
mod verdicts;
mod world;
