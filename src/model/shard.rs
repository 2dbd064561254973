//! Shards: fixed parts of the machines of one zone.

use super::ShardIndex;

/// One shard of machines: a part of one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Shard {
    /// Name of the shard, as records have it.
    pub name: String,
    /// Zone that all its machines are in.
    pub zone: String,
    /// The node that owns it by preference: the controller at home in this part of the zone.
    pub home: Option<String>,
    /// Which part of the zone's machines it has, from 0.
    pub part: u32,
    /// Number of shards in the zone.
    pub parts: u32,
}

/// The shards of all machines. `nodes` are names and zones of all controllers. Every node
/// derives the same shards from the same settings: one for each controller of a zone, and one
/// for a zone without a controller.
pub fn shards_of(zones: &[String], nodes: &[(String, String)]) -> Vec<Shard> {
    let mut zones: Vec<String> = zones.to_vec();
    zones.extend(nodes.iter().map(|(_, zone)| zone.clone()));
    zones.sort();
    zones.dedup();
    zones.iter().flat_map(|zone| shards_of_zone(zone, nodes)).collect()
}

fn shards_of_zone(zone: &str, nodes: &[(String, String)]) -> Vec<Shard> {
    let at_home = nodes.iter().filter(|(_, node_zone)| node_zone == zone);
    let mut homes: Vec<&String> = at_home.map(|(node, _)| node).collect();
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

/// Digits at the end of a machine's name that its shard follows from.
const NAME_DIGITS: usize = 9;

/// The shard of a machine; none if its zone has none. Machine names end in digits that count
/// up, which spreads them evenly.
pub fn shard_of(shards: &[Shard], zone: &str, machine: &str) -> Option<ShardIndex> {
    let digits: String = machine.chars().filter(char::is_ascii_digit).collect();
    let tail = &digits[digits.len().saturating_sub(NAME_DIGITS)..];
    let number: u32 = tail.parse().unwrap_or(0);
    let is_its = |shard: &Shard| shard.zone == zone && number % shard.parts == shard.part;
    shards.iter().position(is_its).map(ShardIndex::at)
}
