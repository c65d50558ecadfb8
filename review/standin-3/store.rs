//! The project's stand-in for the platform's store and cloud, as a process of its own, and writes of the operator and the replicas.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

const START_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A running store, which ends with this value.
pub struct Store {
    pub address: SocketAddr,
    process: Child,
}

impl Store {
    pub fn start(program: &Path, address: SocketAddr) -> Result<Self, String> {
        let process = Command::new(program)
            .args(["store", "--listen", &address.to_string()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let store = Self { address, process };
        let began = Instant::now();
        while TcpStream::connect(address).is_err() {
            if began.elapsed() > START_TIMEOUT {
                return Err("the store does not listen".to_owned());
            }
            thread::sleep(RETRY_PAUSE);
        }
        Ok(store)
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        let _ended = self.process.kill();
        let _status = self.process.wait();
    }
}

/// Writes a record. The store's answer is the acknowledgement.
pub fn put(store: SocketAddr, key: &str, value: &str) -> Result<(), String> {
    let value = base64(value.as_bytes());
    let body = format!(
        r#"{{"expected-revision":[],"set-keys":[{{"key":"{key}","value":"{value}","lease":0}}],"remove":[]}}"#
    );
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(store).map_err(failed)?;
    let head = format!(
        "POST /bilberrylatch/kv-txn HTTP/1.1\r\nHost: {store}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).map_err(failed)?;
    let answer = http::read(&mut BufReader::new(stream)).map_err(failed)?;
    match answer.map(|it| it.status()) {
        Some(200) => Ok(()),
        other => Err(format!("the store answered {other:?} to a write of {key}")),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let whole = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, whole[0], whole[1], whole[2]]);
        for digit in 0..4 {
            let is_padding = digit > chunk.len();
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    text
}
