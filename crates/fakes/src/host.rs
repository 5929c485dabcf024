//! HTTP server on a runtime of its own that can be killed.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use heathpitch_net::{Body, Bounds, Listener, serve};
use hyper::body::Incoming;
use hyper::{Request, Response};
use parking_lot::Mutex;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

/// Longest time for the server's tasks to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Server that runs until it is killed or dropped.
#[derive(Debug)]
pub(crate) struct Host {
    runtime: Mutex<Option<Runtime>>,
    address: SocketAddr,
    _stop: watch::Sender<bool>,
}

impl Host {
    /// Listens on `address` and passes requests to `handler`.
    pub(crate) fn spawn<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let bound = {
            let _guard = runtime.enter();
            Listener::bind(address)
        };
        let listener = match bound {
            Ok(listener) => listener,
            Err(e) => {
                runtime.shutdown_background();
                return Err(e);
            }
        };
        let address = listener.address();
        let (stop, stopped) = watch::channel(false);
        runtime.spawn(serve(listener, Bounds::default(), stopped, handler));
        Ok(Self { runtime: Mutex::new(Some(runtime)), address, _stop: stop })
    }

    /// Bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server at once, as on SIGKILL; afterwards its address refuses connections.
    pub(crate) fn kill(&self) {
        if let Some(runtime) = self.runtime.lock().take() {
            // On a thread of its own, as a runtime's end may not be awaited within another one; it does not panic.
            let _ = std::thread::spawn(move || runtime.shutdown_timeout(STOP_TIMEOUT)).join();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
