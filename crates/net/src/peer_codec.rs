//! Cap'n Proto encoding of the updates exchanged by peers.

use capnp::Result;
use heathpitch_core::{Epoch, Incarnation, LayerRange, Name, Revision};
use heathpitch_policy::{EngineReport, EngineRole, Member, MemberState};

use crate::peer_capnp::{document, member, report, update};
use crate::{Demand, Packed, Update};

/// Maximum number of entries in each list of an update.
const MAX_ENTRIES: u32 = 4_096;

/// Encodes an update.
pub(crate) fn write(from: &Update, mut to: update::Builder<'_>) {
    let mut members = to.reborrow().init_members(from.members.len() as u32);
    for (i, m) in from.members.iter().enumerate() {
        write_member(m, members.reborrow().get(i as u32));
    }
    let mut reports = to.reborrow().init_reports(from.reports.len() as u32);
    for (i, r) in from.reports.iter().enumerate() {
        write_report(r, reports.reborrow().get(i as u32));
    }
    let mut demand = to.reborrow().init_demand(from.demand.len() as u32);
    for (i, d) in from.demand.iter().enumerate() {
        let mut entry = demand.reborrow().get(i as u32);
        entry.set_account(d.account);
        entry.set_rate(d.rate);
    }
    write_packed(&from.config, to.reborrow().init_config());
    write_packed(&from.vms, to.reborrow().init_vms());
    to.set_epoch(from.epoch);
}

/// Decodes an update.
pub(crate) fn read(from: update::Reader<'_>) -> Result<Update> {
    let members = from.get_members()?;
    let reports = from.get_reports()?;
    let demand = from.get_demand()?;
    if members.len().max(reports.len()).max(demand.len()) > MAX_ENTRIES {
        return Err(capnp::Error::failed("a list in the update has too many entries".to_owned()));
    }
    Ok(Update {
        members: members.iter().map(read_member).collect::<Result<_>>()?,
        reports: reports.iter().map(read_report).collect::<Result<_>>()?,
        config: read_packed(from.get_config()?)?,
        vms: read_packed(from.get_vms()?)?,
        demand: demand
            .iter()
            .map(|d| Demand { account: d.get_account(), rate: d.get_rate() })
            .collect(),
        epoch: from.get_epoch(),
    })
}

fn write_packed(from: &Packed, mut to: document::Builder<'_>) {
    to.set_revision(from.revision.0);
    to.set_packed(&from.bytes);
}

fn read_packed(from: document::Reader<'_>) -> Result<Packed> {
    Ok(Packed { revision: Revision(from.get_revision()), bytes: from.get_packed()?.into() })
}

fn write_member(from: &Member, mut to: member::Builder<'_>) {
    to.set_node(from.node.as_str());
    to.set_life(from.incarnation.0);
    to.set_beat(from.heartbeat);
    to.set_domain(from.domain.as_str());
    to.set_peer(from.peer.as_str());
    to.set_caller(from.caller.as_str());
    to.set_admin(from.admin.as_str());
    to.set_leaving(from.state == MemberState::Draining);
    to.set_config(from.config.0);
    to.set_age(from.age);
}

fn read_member(from: member::Reader<'_>) -> Result<Member> {
    Ok(Member {
        node: name(from.get_node()?)?,
        incarnation: Incarnation(from.get_life()),
        heartbeat: from.get_beat(),
        domain: name(from.get_domain()?)?,
        peer: name(from.get_peer()?)?,
        caller: name(from.get_caller()?)?,
        admin: name(from.get_admin()?)?,
        state: if from.get_leaving() { MemberState::Draining } else { MemberState::Ready },
        config: Revision(from.get_config()),
        age: from.get_age(),
    })
}

fn write_report(from: &EngineReport, mut to: report::Builder<'_>) {
    to.set_engine(from.engine.as_str());
    to.set_life(from.incarnation.0);
    to.set_serial(from.serial);
    to.set_model(from.model.as_ref().map_or("", Name::as_str));
    to.set_version(from.version.as_str());
    to.set_first(from.layers.first);
    to.set_end(from.layers.end);
    to.set_epoch(from.epoch.0);
    to.set_role(match from.role {
        EngineRole::Both => 0,
        EngineRole::Prefill => 1,
        EngineRole::Decode => 2,
    });
    to.set_leaving(from.draining);
    to.set_slots(from.slots);
    to.set_running(from.running);
    to.set_queued(from.queued);
    to.set_prefill(from.prefill);
    to.set_step(from.step);
    to.set_service(from.service);
    to.set_memory(from.memory);
    to.set_layer(from.layer);
    to.set_link(from.link);
}

fn read_report(from: report::Reader<'_>) -> Result<EngineReport> {
    let model = from.get_model()?;
    Ok(EngineReport {
        engine: name(from.get_engine()?)?,
        incarnation: Incarnation(from.get_life()),
        serial: from.get_serial(),
        model: if model.is_empty() { None } else { Some(name(model)?) },
        version: name(from.get_version()?)?,
        layers: LayerRange::new(from.get_first(), from.get_end()),
        epoch: Epoch(from.get_epoch()),
        role: match from.get_role() {
            1 => EngineRole::Prefill,
            2 => EngineRole::Decode,
            _ => EngineRole::Both,
        },
        draining: from.get_leaving(),
        slots: from.get_slots(),
        running: from.get_running(),
        queued: from.get_queued(),
        prefill: from.get_prefill(),
        step: from.get_step(),
        service: from.get_service(),
        memory: from.get_memory(),
        layer: from.get_layer(),
        link: from.get_link(),
    })
}

fn name(text: capnp::text::Reader<'_>) -> Result<Name> {
    let text = text.to_str()?;
    text.parse().map_err(|e: heathpitch_core::NameError| capnp::Error::failed(e.to_string()))
}
