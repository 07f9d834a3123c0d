//! The way of one process to all endpoints, which can be cut while callers, peers and the store
//! still reach the process.

use futures_util::future::{FutureExt, LocalBoxFuture};
use oleander_soak::proxy::{LoopProxy, ProxyMode};
use oleandertack::outlet::{EndpointDialer, IdleLink, LinkError, Result, SocketBounds};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The address of the proxies, which no endpoint has.
const PROXY_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 9);

/// How the network treats a process's connections to endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathMode {
    /// They work.
    #[default]
    Open,
    /// Nothing is answered on open connections, and new ones are not established.
    Hanging,
    /// Open connections are reset and new ones are refused.
    Reset,
    /// Open connections work and new ones are refused.
    NewRefused,
}

/// The way of one process to all endpoints.
#[derive(Default)]
pub struct EndpointPath {
    mode: Cell<PathMode>,
    proxies: RefCell<HashMap<SocketAddr, Rc<LoopProxy>>>,
}

impl EndpointPath {
    /// Cuts or restores the way.
    pub fn set(&self, mode: PathMode) {
        self.mode.set(mode);
        for proxy in self.proxies.borrow().values() {
            let is_silent = mode == PathMode::Hanging;
            proxy.set_mode(if is_silent { ProxyMode::Silent } else { ProxyMode::Pass });
            if mode == PathMode::Reset {
                proxy.reset_all();
            }
        }
    }

    async fn proxy_to(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        if let Some(proxy) = self.proxies.borrow().get(&address) {
            return Ok(proxy.address);
        }
        let proxy = LoopProxy::open_at(PROXY_IP, address).await?;
        let opened = proxy.address;
        self.proxies.borrow_mut().insert(address, Rc::new(proxy));
        Ok(opened)
    }

    async fn open(&self, address: SocketAddr, limit: Duration) -> Result<IdleLink> {
        let failed = |kind: io::ErrorKind| Err(LinkError::ConnectFailed(kind.into()));
        match self.mode.get() {
            PathMode::Hanging => {
                sleep(limit).await;
                return failed(io::ErrorKind::TimedOut);
            }
            PathMode::Reset | PathMode::NewRefused => {
                return failed(io::ErrorKind::ConnectionRefused);
            }
            PathMode::Open => {}
        }
        let proxy = self.proxy_to(address).await.map_err(LinkError::ConnectFailed)?;
        IdleLink::open(proxy, limit, SocketBounds::default()).await
    }
}

impl EndpointDialer for EndpointPath {
    fn dial(&self, address: SocketAddr, limit: Duration) -> LocalBoxFuture<'_, Result<IdleLink>> {
        self.open(address, limit).boxed_local()
    }
}
