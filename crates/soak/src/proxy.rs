//! A proxy on loopback that troubles the connections through it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::seed::Generator;
use rand::RngExt;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 * 1_024;

/// What connections suffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// Nothing.
    None,
    /// Each piece is passed on this many milliseconds late, both ways.
    Delay(u64),
    /// Open connections are reset, and new ones at once.
    Reset,
    /// Nothing passes towards the listener.
    CutThere,
    /// Nothing passes back.
    CutBack,
    /// Nothing passes.
    Silent,
}

impl Impairment {
    /// Draws a trouble; delays stay below a limit.
    pub fn draw(generator: &mut Generator, delay_max_ms: u64) -> Self {
        match generator.random_range(0..5) {
            0 => Self::Delay(generator.random_range(1..delay_max_ms)),
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

/// A running proxy; dropping it leaves its connections to themselves.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    impairment: watch::Sender<Impairment>,
}

impl Proxy {
    /// Listens on a free port at the same IP number, and passes connections on to `target`.
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

    /// Troubles open and new connections from now on.
    pub fn set(&self, impairment: Impairment) {
        self.impairment.send_replace(impairment);
    }
}

/// Passes one connection on until both ways have ended or one is broken.
async fn relay(caller: TcpStream, target: SocketAddr, mut impairments: watch::Receiver<Impairment>) {
    let accepts_bytes = |impairment: &Impairment| !impairment.blocks(Direction::ToTarget);
    if impairments.wait_for(accepts_bytes).await.is_err() {
        return;
    }
    if *impairments.borrow() == Impairment::Reset {
        return reset(&caller);
    }
    let Ok(listener) = TcpStream::connect(target).await else {
        return reset(&caller);
    };
    for stream in [&caller, &listener] {
        // Only the delay of small pieces is at stake.
        let _result = stream.set_nodelay(true);
    }
    let (from_caller, to_caller) = caller.into_split();
    let (from_listener, to_listener) = listener.into_split();
    let to_target_relay = relay_direction(from_caller, to_listener, Direction::ToTarget, impairments.clone());
    let to_caller_relay = relay_direction(from_listener, to_caller, Direction::ToCaller, impairments);
    // The first broken way breaks the other.
    let _result = tokio::try_join!(to_target_relay, to_caller_relay);
}

/// Passes bytes one way until the sender ends; an error breaks the connection.
async fn relay_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut impairments: watch::Receiver<Impairment>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let error = loop {
        let length = tokio::select! {
            _changed = impairments.wait_for(|it| *it == Impairment::Reset) => {
                break io::ErrorKind::ConnectionReset.into()
            }
            read = from.read(&mut buffer) => match read {
                Ok(length) => length,
                Err(error) => break error,
            },
        };
        let is_open = |impairment: &Impairment| !impairment.blocks(direction);
        let impairment = match impairments.wait_for(is_open).await {
            Ok(impairment) => *impairment,
            Err(_ended) => Impairment::None,
        };
        match impairment {
            Impairment::Reset => break io::ErrorKind::ConnectionReset.into(),
            Impairment::Delay(delay_ms) => tokio::time::sleep(Duration::from_millis(delay_ms)).await,
            Impairment::None | Impairment::CutThere | Impairment::CutBack | Impairment::Silent => {}
        }
        if length == 0 {
            return to.shutdown().await;
        }
        if let Err(error) = to.write_all(&buffer[..length]).await {
            break error;
        }
    };
    reset(from.as_ref());
    reset(to.as_ref());
    Err(error)
}

/// Lets the connection end with a reset once it is dropped.
fn reset(stream: &TcpStream) {
    // One that is already broken needs none.
    let _result = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
