//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line: method, path and version, or version, status and reason.
    pub start: Vec<String>,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let mut fields = self.fields.iter();
        let found = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        &self.start[0]
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        &self.start[1]
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

fn line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a message whose body has a length or is chunked; one with neither has no body.
pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let start = line(from)?;
    let mut message = Message {
        start: start.splitn(3, ' ').map(str::to_owned).collect(),
        ..Message::default()
    };
    if message.start.len() < 2 {
        return Err(broken("the first line is malformed"));
    }
    loop {
        let line = line(from)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        let field = (name.to_owned(), value.trim().to_owned());
        message.fields.push(field);
    }
    if message.field("transfer-encoding") == "chunked" {
        loop {
            let size = usize::from_str_radix(&line(from)?, 16).map_err(|_| broken("no chunk"))?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body)?;
    Ok(message)
}

/// Connects as a client does, within one second.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a new connection and returns the response.
pub fn exchange(to: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let mut stream = connect(to)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    read(&mut BufReader::new(stream))
}
