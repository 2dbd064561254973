//! Shards, each of which is a fixed part of the machines of one zone.

use super::ShardIndex;

/// A shard: a fixed part of the machines of one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Shard {
    /// Name of the shard, as used in records.
    pub name: String,
    /// Zone that all its machines are in.
    pub zone: String,
    /// Preferred owner of the shard: the controller of the zone that this part is assigned to.
    /// `None` if the zone has no controller.
    pub home: Option<String>,
    /// Index of the shard among the shards of its zone, from 0.
    pub part: u32,
    /// Number of shards in its zone.
    pub parts: u32,
}

/// Returns the shards of all zones: one for each controller of a zone, and one for a zone without a
/// controller. `nodes` contains the names and zones of all controllers. Every node derives the same
/// shards from the same settings.
pub fn shards_of(zones: &[String], nodes: &[(String, String)]) -> Vec<Shard> {
    let mut zones: Vec<String> = zones.to_vec();
    zones.extend(nodes.iter().map(|(_, zone)| zone.clone()));
    zones.sort();
    zones.dedup();
    zones.iter().flat_map(|zone| shards_of_zone(zone, nodes)).collect()
}

fn shards_of_zone(zone: &str, nodes: &[(String, String)]) -> Vec<Shard> {
    let in_zone = nodes.iter().filter(|(_, node_zone)| node_zone == zone);
    let mut homes: Vec<&String> = in_zone.map(|(node, _)| node).collect();
    homes.sort();
    let parts = homes.len().max(1) as u32;
    let shard = |part: u32| Shard {
        name: format!("{zone}.{part}"),
        zone: zone.to_string(),
        home: homes.get(part as usize).map(std::string::ToString::to_string),
        part,
        parts,
    };
    (0..parts).map(shard).collect()
}

/// Number of trailing digits of a machine's name that determine its shard.
const NAME_DIGITS: usize = 9;

/// Returns the shard of a machine, or `None` if its zone has no shard. Machine names end in
/// consecutive numbers, which distributes the machines evenly among the shards of a zone.
pub fn shard_of(shards: &[Shard], zone: &str, machine: &str) -> Option<ShardIndex> {
    let digits: String = machine.chars().filter(char::is_ascii_digit).collect();
    let tail = &digits[digits.len().saturating_sub(NAME_DIGITS)..];
    let number: u32 = tail.parse().unwrap_or(0);
    let contains_machine = |shard: &Shard| shard.zone == zone && number % shard.parts == shard.part;
    shards.iter().position(contains_machine).map(ShardIndex::from_usize)
}
