//! Cap'n Proto encoding of the nodes that take calls of others.

use heathpitch_core::{ForwardToken, Forwarder};

use crate::feed_capnp::forwarder;
use crate::feed_codec::{address, name};

pub(crate) fn write_forwarder(from: &Forwarder, mut to: forwarder::Builder<'_>) {
    to.set_node(from.node.as_str());
    to.set_domain(from.domain.as_str());
    to.set_address(from.address.to_string());
    to.set_token(from.token.bytes());
    to.set_open(from.open);
    let mut unserved = to.init_unserved(from.unserved.len() as u32);
    for (i, service) in from.unserved.iter().enumerate() {
        unserved.set(i as u32, service.as_str());
    }
}

pub(crate) fn read_forwarder(from: forwarder::Reader<'_>) -> capnp::Result<Forwarder> {
    let token = ForwardToken::from_bytes(from.get_token()?);
    Ok(Forwarder {
        node: name(from.get_node()?)?,
        domain: name(from.get_domain()?)?,
        address: address(from.get_address()?)?,
        token: token.ok_or_else(|| capnp::Error::failed("token: wrong length".to_owned()))?,
        open: from.get_open(),
        unserved: from.get_unserved()?.iter().map(|s| name(s?)).collect::<capnp::Result<_>>()?,
    })
}
