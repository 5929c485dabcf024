//! Heads of responses with any combination of lengths, codings and statuses, compared with a strict reader.
//!
//! Guards against a form of head that the client frames otherwise than RFC 9112 does, so that a caller gets another body
//! than the sender's as a complete one.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use std::net::SocketAddr;

use heathpitch_net::{ConnectionHead, Framing, Pool, Reuse, empty, read};
use hyper::Request;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BODY: &str = "0123456789";
/// Larger than any body here.
const MAX_BODY_BYTES: usize = 1 << 10;
const CASES: u32 = 600;

/// Body of a response by the letter of RFC 9112, section 6.3; none if it is not one whole response. One that ends with its
/// connection has to say so.
fn strict(head: &str, rest: &[u8]) -> Option<Vec<u8>> {
    let mut lines = head.split("\r\n");
    let mut status = lines.next()?.splitn(3, ' ');
    let version = status.next()?;
    let code = status.next().filter(|code| code.len() == 3)?;
    let code: u16 = code.bytes().all(|b| b.is_ascii_digit()).then(|| code.parse().ok())??;
    if !version.starts_with("HTTP/1.") || !(200..600).contains(&code) {
        return None;
    }
    let (mut lengths, mut codings) = (Vec::new(), Vec::new());
    let mut closes = version == "HTTP/1.0";
    for line in lines.filter(|line| !line.is_empty()) {
        let (name, value) = line.split_once(':')?;
        let is_token = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
        if name.is_empty() || !name.bytes().all(is_token) {
            return None;
        }
        match name.to_ascii_lowercase().as_str() {
            "content-length" => lengths.extend(value.split(',').map(str::trim)),
            "transfer-encoding" => codings.extend(value.split(',').map(str::trim)),
            "connection" => closes |= value.trim() == "close",
            _ => {}
        }
    }
    match (&lengths[..], &codings[..]) {
        ([], []) if code == 204 || code == 304 => Some(Vec::new()),
        ([], []) => closes.then(|| rest.to_vec()),
        ([first, others @ ..], []) => {
            let is_number = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
            let length: usize = first.parse().ok().filter(|_| is_number)?;
            if others.iter().any(|other| other != first) || (code == 204 && length > 0) {
                return None;
            }
            if code == 304 {
                return Some(Vec::new());
            }
            rest.get(..length).map(<[u8]>::to_vec)
        }
        ([], [coding]) if coding.eq_ignore_ascii_case("chunked") && version == "HTTP/1.1" => {
            match code {
                204 => None,
                304 => Some(Vec::new()),
                _ => chunks(rest),
            }
        }
        _ => None,
    }
}

fn chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|w| w == b"\r\n")?;
        let digits = std::str::from_utf8(&rest[..line]).ok()?;
        let size = usize::from_str_radix(digits, 16).ok()?;
        body.extend_from_slice(rest.get(line + 2..line + 2 + size)?);
        rest = rest.get(line + 2 + size..)?.strip_prefix(b"\r\n")?;
        if size == 0 {
            return Some(body);
        }
    }
}

/// Answers one request with these bytes and closes the connection.
async fn serve_once(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(&bytes).await;
    });
    address
}

/// What the client takes for the whole body; none if it takes the response for none, or for a cut one.
async fn received(bytes: Vec<u8>) -> Option<Vec<u8>> {
    let address = serve_once(bytes).await;
    let mut connection = Pool::new().connect(address, 0, Reuse::Never).await.unwrap();
    let mut request = Request::new(empty());
    request.headers_mut().insert("host", "engine.example".parse().unwrap());
    let (mut parts, body) = connection.send(request).await.ok()?.into_parts();
    let hop = ConnectionHead::take(&mut parts);
    let body = read(body, MAX_BODY_BYTES).await.ok()?;
    let framed = !matches!(hop.framing, Framing::Bodiless);
    assert!(!framed || !parts.headers.contains_key("content-length"), "{:?}", parts.headers);
    Some(body.to_vec())
}

fn status() -> impl Strategy<Value = String> {
    prop_oneof![
        8 => Just("HTTP/1.1 200 OK".to_owned()),
        1 => Just("HTTP/1.0 200 OK".to_owned()),
        2 => (0_u16..1_100).prop_map(|code| format!("HTTP/1.1 {code:03} x")),
        1 => prop_oneof![Just("204"), Just("304"), Just("500"), Just("20"), Just("2000")]
            .prop_map(|code| format!("HTTP/1.1 {code} x")),
    ]
}

fn line() -> impl Strategy<Value = String> {
    let number = prop_oneof![
        4 => Just("10".to_owned()),
        1 => (0_u32..14).prop_map(|n| n.to_string()),
        1 => "[ +,0-9xa-]{0,5}",
    ];
    let coding = prop_oneof![
        4 => Just("chunked".to_owned()),
        2 => prop_oneof![Just("gzip, chunked"), Just("chunked, gzip"), Just("chunke"), Just(""),
            Just("chunked, chunked"), Just(" CHUNKED"), Just("identity"), Just("\"chunked\"")]
            .prop_map(str::to_owned),
    ];
    let name = |name: &'static str| {
        prop_oneof![8 => Just(name.to_owned()), 1 => Just(format!("{name} ")),
            1 => Just(format!(" {name}")), 1 => Just(name.replace('-', "\u{1}")),
            1 => Just(name.to_ascii_uppercase())]
    };
    prop_oneof![
        3 => (name("content-length"), number).prop_map(|(n, v)| format!("{n}: {v}")),
        2 => (name("transfer-encoding"), coding).prop_map(|(n, v)| format!("{n}: {v}")),
        1 => Just("x-other: 1".to_owned()),
        2 => Just("connection: close".to_owned()),
        1 => "[a-z :]{1,6}",
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn no_head_makes_another_body_complete(
        status in status(),
        lines in proptest::collection::vec(line(), 0..4),
        chunked in any::<bool>(),
        cut in prop_oneof![3 => Just(usize::MAX), 1 => 0_usize..30],
    ) {
        let mut head = status;
        lines.iter().for_each(|line| head = format!("{head}\r\n{line}"));
        let body = match chunked {
            true => format!("4\r\n{}\r\n6\r\n{}\r\n0\r\n\r\n", &BODY[..4], &BODY[4..]),
            false => BODY.to_owned(),
        };
        let rest = &body.as_bytes()[..cut.min(body.len())];
        let bytes = [format!("{head}\r\n\r\n").as_bytes(), rest].concat();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let received = runtime.block_on(received(bytes));
        if let Some(received) = received {
            prop_assert_eq!(Some(received), strict(&head, rest));
        }
    }
}
