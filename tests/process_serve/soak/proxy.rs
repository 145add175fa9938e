//! A loopback proxy that delays, holds back or resets connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use standins::http::bind;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

/// The interval at which a held connection checks whether it may continue.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The faults of a proxy's connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProxyFault {
    pub delay_ms: u64,
    /// No data passes from the client to the server.
    pub holds_requests: bool,
    /// No data passes from the server to the client.
    pub holds_answers: bool,
}

/// A proxy in front of one address.
pub struct Proxy {
    pub address: SocketAddr,
    fault: Arc<Mutex<ProxyFault>>,
    resets: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let (listener, address) = bind().await.expect("a port is free");
        let fault = Arc::new(Mutex::default());
        let resets = watch::Sender::new(0);
        let task = tokio::spawn(accept_connections(
            listener,
            target,
            fault.clone(),
            resets.subscribe(),
        ));
        Self {
            address,
            fault,
            resets,
            task,
        }
    }

    pub fn set_fault(&self, fault: ProxyFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Closes all open connections at once.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    fault: Arc<Mutex<ProxyFault>>,
    resets: watch::Receiver<u64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let (fault, mut resets) = (fault.clone(), resets.clone());
        resets.mark_unchanged();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            let out = forward(from_client, to_server, &fault, |fault| fault.holds_requests);
            let back = forward(from_server, to_client, &fault, |fault| fault.holds_answers);
            // Both sockets are closed as soon as one direction ends.
            tokio::select! {
                () = out => {}
                () = back => {}
                _ = resets.changed() => {}
            }
        });
    }
}

/// Copies data in one direction until an end closes, subject to the fault.
async fn forward<S>(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: &Mutex<ProxyFault>,
    is_held: S,
) where
    S: Fn(&ProxyFault) -> bool,
{
    let now = || *fault.lock().unwrap_or_else(PoisonError::into_inner);
    let mut buffer = vec![0; 16_384];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        tokio::time::sleep(Duration::from_millis(now().delay_ms)).await;
        while is_held(&now()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
