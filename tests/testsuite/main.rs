//! Integration tests of the query tier, grouped by feature.

mod admission;
mod allowance;
mod callers;
mod checkers;
mod cluster;
mod configuration;
mod divide;
mod faults;
mod fixtures;
mod follow;
mod limits;
mod merge;
mod output;
mod ownership;
mod partitions;
mod parts;
mod planned_stops;
mod policy;
mod processes;
mod roster;
mod settings;
mod snapshots;
mod support;
mod targets;
mod verdicts;
mod world;
