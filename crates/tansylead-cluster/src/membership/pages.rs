//! Pages: the members of one place ordered by address, encoded without repeating names.

use super::member::MemberRecord;
use super::packet::{MemberPage, PageMember};
use super::sizes::{name_bytes, packet_budget, page_member_bytes};
use super::table::MemberTable;
use tansylead_types::{NodeId, PlaceName, ZoneName};

/// Builds the page of a place after `after` that fits one packet of this sender.
pub(super) fn build_page(
    table: &MemberTable,
    sender: &MemberRecord,
    place: PlaceName,
    after: Option<NodeId>,
) -> MemberPage {
    let mut budget = packet_budget(sender).saturating_sub(name_bytes(place.as_str()));
    let mut page = MemberPage {
        place,
        zones: Vec::new(),
        members: Vec::new(),
        next: None,
    };
    let Some(members) = table.place(&page.place) else {
        return page;
    };
    for record in members
        .known_after(after)
        .filter_map(|node| table.get(node))
    {
        let zone = zone_index(&page.zones, &record.zone);
        let member = page_member(record, zone);
        let new_zone = zone == page.zones.len();
        let zone_bytes = if new_zone {
            name_bytes(record.zone.as_str())
        } else {
            0
        };
        let bytes = page_member_bytes(&member) + zone_bytes;
        if bytes > budget {
            page.next = page.members.last().map(|member| member.instance.node);
            break;
        }
        budget -= bytes;
        if new_zone {
            page.zones.push(record.zone.clone());
        }
        page.members.push(member);
    }
    page
}

/// The records of a page. Members whose zone is not in the page are left out.
pub(super) fn page_records(page: &MemberPage) -> impl Iterator<Item = MemberRecord> {
    page.members.iter().filter_map(|member| {
        let zone = page.zones.get(usize::from(member.zone))?;
        Some(MemberRecord {
            instance: member.instance,
            incarnation: member.incarnation,
            place: page.place.clone(),
            zone: zone.clone(),
            caller_address: member.caller_address,
            capacity: member.capacity,
            state: member.state,
        })
    })
}

/// Index of a zone, or the index that it would get.
fn zone_index(zones: &[ZoneName], zone: &ZoneName) -> usize {
    zones
        .iter()
        .position(|known| known == zone)
        .unwrap_or(zones.len())
}

fn page_member(record: &MemberRecord, zone: usize) -> PageMember {
    PageMember {
        instance: record.instance,
        incarnation: record.incarnation,
        // A page holds fewer members, and so fewer zones, than a byte can count.
        zone: u8::try_from(zone).unwrap_or(u8::MAX),
        caller_address: record.caller_address,
        capacity: record.capacity,
        state: record.state,
    }
}
