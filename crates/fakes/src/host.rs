//! A runtime that can be killed, with an HTTP listener on it.

use std::io;
use std::net::SocketAddr;

use heathpitch_net::{Body, Bounds, Listener, serve};
use hyper::body::Incoming;
use hyper::{Request, Response};
use parking_lot::Mutex;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

/// Something that runs until it is killed or dropped.
#[derive(Debug)]
pub(crate) struct Host {
    runtime: Mutex<Option<Runtime>>,
    address: SocketAddr,
    _stop: watch::Sender<bool>,
}

impl Host {
    /// Starts a listener on `address` whose requests `make` handles.
    pub(crate) fn spawn<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let bound = {
            let _inside = runtime.enter();
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

    /// Address bound.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends everything at once, as SIGKILL would.
    pub(crate) fn kill(&self) {
        if let Some(runtime) = self.runtime.lock().take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
