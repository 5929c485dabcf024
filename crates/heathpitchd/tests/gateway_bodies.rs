//! Bodies of calls that arrive slowly, and those that do not fit into the memory of the node.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod gateway;

use std::net::SocketAddr;
use std::time::Duration;

use gateway::{Cluster, KEY, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Puts a configuration with other limits on callers into force.
async fn limit(
    cluster: &mut Cluster,
    node: &heathpitch_standin::GatewayProcess,
    limits: [(&str, u64); 2],
) {
    cluster.config.version += 4;
    let mut document = cluster.config.json();
    limits.iter().for_each(|(key, value)| document["limits"][key] = (*value).into());
    cluster.store.put_config(&document);
    let version = cluster.config.version;
    wait_until("the limits are in force", async || {
        node.events("config_adopted").iter().any(|e| e["version"] == version)
    })
    .await;
}

/// Sends a call whose body arrives in pieces, each so long after the one before; returns the status of its answer.
async fn send_slowly(node: SocketAddr, pieces: usize, piece: &[u8], pause: Duration) -> u16 {
    let mut stream = TcpStream::connect(node).await.unwrap();
    let length = pieces * piece.len();
    let head = format!(
        "POST /book/x HTTP/1.1\r\nhost: desk.example\r\nx-request-id: c1\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..pieces {
        tokio::time::sleep(pause).await;
        // A node that has refused the call may close the connection.
        if stream.write_all(piece).await.is_err() {
            break;
        }
    }
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer[9..]).parse().unwrap()
}

/// Guards against an idle timeout that counts the whole body: callers that go on sending got a 400, after which they do
/// not return.
#[tokio::test(flavor = "multi_thread")]
async fn the_idle_timeout_counts_from_the_last_piece_of_a_body() {
    let mut cluster = Cluster::new();
    cluster.engine("a", "api");
    let node = cluster.node().await;
    limit(&mut cluster, &node, [("idleTimeoutMs", 1_000), ("maxBodyBytes", 65_536)]).await;
    let pause = Duration::from_millis(400);
    assert_eq!(send_slowly(node.listen, 6, b"piece", pause).await, 200);
    assert_eq!(send_slowly(node.listen, 1, b"piece", 4 * pause).await, 400, "it was idle");
    // The route's timeout is 5 s.
    assert_eq!(send_slowly(node.listen, 14, b"piece", pause).await, 503, "nothing ran");
}
