//! A loopback proxy that delays, silences and resets connections.

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

/// How often a silenced connection looks whether it may go on.
const LOOK: Duration = Duration::from_millis(10);

/// What is wrong with a way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fault {
    pub delay_ms: u64,
    /// Nothing passes from the client.
    pub is_silent_out: bool,
    /// Nothing passes to the client.
    pub is_silent_back: bool,
}

/// A way from clients to one address.
pub struct Proxy {
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    resets: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let (listener, address) = bind().await.expect("a port is free");
        let fault = Arc::new(Mutex::default());
        let resets = watch::Sender::new(0);
        let task = tokio::spawn(accept(listener, target, fault.clone(), resets.subscribe()));
        Self {
            address,
            fault,
            resets,
            task,
        }
    }

    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Ends all open connections at once.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    fault: Arc<Mutex<Fault>>,
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
            let out = pass(from_client, to_server, &fault, |fault| fault.is_silent_out);
            let back = pass(from_server, to_client, &fault, |fault| fault.is_silent_back);
            // Whichever ends first, both sockets are closed.
            tokio::select! {
                () = out => {}
                () = back => {}
                _ = resets.changed() => {}
            }
        });
    }
}

async fn pass<S>(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: &Mutex<Fault>,
    is_silent: S,
) where
    S: Fn(&Fault) -> bool,
{
    let now = || *fault.lock().unwrap_or_else(PoisonError::into_inner);
    let mut buffer = vec![0; 16_384];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        tokio::time::sleep(Duration::from_millis(now().delay_ms)).await;
        while is_silent(&now()) {
            tokio::time::sleep(LOOK).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
