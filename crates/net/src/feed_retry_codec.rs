//! Codec of requests for retries.

use crate::feed_capnp::{retry_ask, retry_told};
use crate::feed_codec::name;
use crate::{RetryRequest, RetryResponse};

pub(crate) fn write_retry_request(from: &RetryRequest, mut to: retry_ask::Builder<'_>) {
    to.set_service(from.service.as_str());
    to.set_calls(from.calls);
}

pub(crate) fn read_retry_request(from: retry_ask::Reader<'_>) -> capnp::Result<RetryRequest> {
    Ok(RetryRequest { service: name(from.get_service()?)?, calls: from.get_calls() })
}

pub(crate) fn write_retry_response(from: RetryResponse, mut to: retry_told::Builder<'_>) {
    to.set_active(from.active);
    to.set_given(from.issued);
}

pub(crate) fn read_retry_response(from: retry_told::Reader<'_>) -> RetryResponse {
    RetryResponse { active: from.get_active(), issued: from.get_given() }
}
