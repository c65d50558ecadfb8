//! A loopback proxy that impairs the connections through it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::seed::Generator;
use rand::RngExt;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Most bytes that are relayed at once.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Impairment of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// Connections are not impaired.
    None,
    /// Each chunk is delayed by this many milliseconds, in both directions.
    Delay(u64),
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// Bytes from caller to target are held back.
    CutThere,
    /// Bytes from target to caller are held back.
    CutBack,
    /// Bytes are held back in both directions.
    Silent,
}

impl Impairment {
    /// Draws an impairment; delays are shorter than `max_delay_ms`.
    pub fn draw(generator: &mut Generator, max_delay_ms: u64) -> Self {
        match generator.random_range(0..5) {
            0 => Self::Delay(generator.random_range(1..max_delay_ms)),
            1 => Self::Reset,
            2 => Self::CutThere,
            3 => Self::CutBack,
            _ => Self::Silent,
        }
    }

    const fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::Silent => true,
            Self::CutThere => matches!(direction, Direction::ToTarget),
            Self::CutBack => matches!(direction, Direction::ToCaller),
            Self::None | Self::Delay(_) | Self::Reset => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    ToTarget,
    ToCaller,
}

/// A running proxy. Dropping it does not stop the tasks of the proxy and of its connections.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which it listens.
    pub address: SocketAddr,
    impairment: watch::Sender<Impairment>,
}

impl Proxy {
    /// Listens on a free port of the IP address of `target` and relays connections to `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::new(target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let (impairment, impairments) = watch::channel(Impairment::None);
        tokio::spawn(async move {
            while let Ok((stream, _from)) = listener.accept().await {
                tokio::spawn(relay(stream, target, impairments.clone()));
            }
        });
        Ok(Self { address, impairment })
    }

    /// Sets the impairment of open and new connections.
    pub fn set(&self, impairment: Impairment) {
        self.impairment.send_replace(impairment);
    }
}

/// Relays a connection until both directions have ended or one has failed.
async fn relay(mut caller: TcpStream, target: SocketAddr, mut impairments: watch::Receiver<Impairment>) {
    let accepts_bytes = |impairment: &Impairment| !impairment.blocks(Direction::ToTarget);
    if impairments.wait_for(accepts_bytes).await.is_err() {
        return;
    }
    if *impairments.borrow() == Impairment::Reset {
        return reset(&caller);
    }
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return reset(&caller);
    };
    for stream in [&caller, &upstream] {
        // A failure only adds delay to small chunks.
        let _result = stream.set_nodelay(true);
    }
    // Owned halves would end their connection in order when they are dropped, before it is reset.
    let (from_caller, to_caller) = caller.split();
    let (from_target, to_target) = upstream.split();
    let to_target_relay = relay_direction(from_caller, to_target, Direction::ToTarget, impairments.clone());
    let to_caller_relay = relay_direction(from_target, to_caller, Direction::ToCaller, impairments);
    // An error in either direction cancels the other.
    let ended = tokio::try_join!(to_target_relay, to_caller_relay);
    if ended.is_err() {
        reset(&caller);
        reset(&upstream);
    }
}

/// Relays bytes in one direction until the sender closes it.
async fn relay_direction(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    mut impairments: watch::Receiver<Impairment>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = tokio::select! {
            _changed = impairments.wait_for(|it| *it == Impairment::Reset) => {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            read = from.read(&mut buffer) => read?,
        };
        let is_open = |impairment: &Impairment| !impairment.blocks(direction);
        let impairment = match impairments.wait_for(is_open).await {
            Ok(impairment) => *impairment,
            Err(_ended) => Impairment::None,
        };
        match impairment {
            Impairment::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
            Impairment::Delay(delay_ms) => tokio::time::sleep(Duration::from_millis(delay_ms)).await,
            Impairment::None | Impairment::CutThere | Impairment::CutBack | Impairment::Silent => {}
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // A connection that is already broken needs no reset.
    let _result = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
