//! Cap'n Proto encoding of the notices in feed messages.

use heathpitch_core::{PromptPart, Rate, RequestFingerprint};

use crate::feed_capnp::{end, leave, limit, part_answer, part_end};
use crate::feed_codec::name;
use crate::{FeedDrain, FeedExit, FeedLimit, FeedNotices, FeedPartAnswer, FeedPartExit};

pub(crate) fn write_exits(from: &[FeedExit], mut to: capnp::struct_list::Builder<'_, end::Owned>) {
    for (i, e) in from.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_print(e.fingerprint.0);
        to.set_engine(e.engine.as_str());
        to.set_born(e.started_at.unwrap_or(0));
        to.set_events(e.events);
        to.set_renewed(e.renewed);
        to.set_void(e.cleared);
        to.set_age_ms(e.age_ms);
    }
}

pub(crate) fn read_notices(
    ends: capnp::struct_list::Reader<'_, end::Owned>,
    leaves: capnp::struct_list::Reader<'_, leave::Owned>,
    limits: capnp::struct_list::Reader<'_, limit::Owned>,
    part_ends: capnp::struct_list::Reader<'_, part_end::Owned>,
    part_answers: capnp::struct_list::Reader<'_, part_answer::Owned>,
) -> capnp::Result<FeedNotices> {
    Ok(FeedNotices {
        exits: ends.iter().map(read_exit).collect::<capnp::Result<_>>()?,
        drains: leaves.iter().map(read_drain).collect::<capnp::Result<_>>()?,
        limits: limits.iter().map(read_limit).collect::<capnp::Result<_>>()?,
        part_exits: part_ends.iter().map(read_part_exit).collect::<capnp::Result<_>>()?,
        part_answers: part_answers.iter().map(read_part_answer).collect(),
    })
}

pub(crate) fn write_part_exits(
    from: &[FeedPartExit],
    mut to: capnp::struct_list::Builder<'_, part_end::Owned>,
) {
    for (i, e) in from.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_service(e.service);
        to.set_part(e.part.0);
        to.set_account(e.account);
        to.set_position(e.position);
        to.set_answered(e.others_answered);
        to.set_seen(e.answered_before);
        let mut end = to.init_end();
        end.set_print(e.request.map_or(0, |request| request.0));
        end.set_engine(e.engine.as_str());
        end.set_born(e.started_at.unwrap_or(0));
        end.set_events(e.events);
        end.set_renewed(e.renewed);
        end.set_void(e.cleared);
        end.set_age_ms(e.age_ms);
    }
}

fn read_part_exit(from: part_end::Reader<'_>) -> capnp::Result<FeedPartExit> {
    let FeedExit { fingerprint, engine, started_at, events, renewed, cleared, age_ms } =
        read_exit(from.get_end()?)?;
    Ok(FeedPartExit {
        service: from.get_service(),
        part: PromptPart(from.get_part()),
        account: from.get_account(),
        engine,
        started_at,
        events,
        position: from.get_position(),
        others_answered: from.get_answered(),
        answered_before: from.get_seen(),
        request: Some(fingerprint).filter(|request| request.0 != 0),
        renewed,
        cleared,
        age_ms,
    })
}

pub(crate) fn write_part_answers(
    from: &[FeedPartAnswer],
    mut to: capnp::struct_list::Builder<'_, part_answer::Owned>,
) {
    for (i, a) in from.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_service(a.service);
        to.set_part(a.part.0);
        to.set_account(a.account);
        to.set_engine(a.engine);
        to.set_id(a.id);
        to.set_age_ms(a.age_ms);
    }
}

fn read_part_answer(from: part_answer::Reader<'_>) -> FeedPartAnswer {
    FeedPartAnswer {
        service: from.get_service(),
        part: PromptPart(from.get_part()),
        account: from.get_account(),
        engine: from.get_engine(),
        id: from.get_id(),
        age_ms: from.get_age_ms(),
    }
}

fn read_exit(from: end::Reader<'_>) -> capnp::Result<FeedExit> {
    Ok(FeedExit {
        fingerprint: RequestFingerprint(from.get_print()),
        engine: name(from.get_engine()?)?,
        started_at: Some(from.get_born()).filter(|started_at| *started_at > 0),
        events: from.get_events(),
        renewed: from.get_renewed(),
        cleared: from.get_void(),
        age_ms: from.get_age_ms(),
    })
}

pub(crate) fn write_drains(
    from: &[FeedDrain],
    mut to: capnp::struct_list::Builder<'_, leave::Owned>,
) {
    for (i, l) in from.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_engine(l.engine.as_str());
        to.set_born(l.started_at.unwrap_or(0));
        to.set_age_ms(l.age_ms);
    }
}

fn read_drain(from: leave::Reader<'_>) -> capnp::Result<FeedDrain> {
    Ok(FeedDrain {
        engine: name(from.get_engine()?)?,
        started_at: Some(from.get_born()).filter(|started_at| *started_at > 0),
        age_ms: from.get_age_ms(),
    })
}

pub(crate) fn write_limits(
    from: &[FeedLimit],
    mut to: capnp::struct_list::Builder<'_, limit::Owned>,
) {
    for (i, l) in from.iter().enumerate() {
        write_limit(l, to.reborrow().get(i as u32));
    }
}

pub(crate) fn write_limit(from: &FeedLimit, mut to: limit::Builder<'_>) {
    to.set_engine(from.engine.as_str());
    to.set_born(from.started_at.unwrap_or(0));
    to.set_parts(Rate::pack(from.rate));
    to.set_age_ms(from.age_ms);
}

pub(crate) fn read_limit(from: limit::Reader<'_>) -> capnp::Result<FeedLimit> {
    Ok(FeedLimit {
        engine: name(from.get_engine()?)?,
        started_at: Some(from.get_born()).filter(|started_at| *started_at > 0),
        rate: Rate::unpack(from.get_parts()),
        age_ms: from.get_age_ms(),
    })
}
