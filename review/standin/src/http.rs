//! Messages of HTTP/1.1 on blocking streams.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a field, whose name is given in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// A stream with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            rest: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        let read = self.stream.read(&mut buffer)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.rest.extend_from_slice(&buffer[..read]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            self.fill()?;
        }
        Ok(self.rest.drain(..count).collect())
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
                message.fields.push(field);
            }
        }
    }

    /// Reads the body of a message by its length or in chunks. A body without either is empty.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        if let Some(length) = message.field("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.bytes(length)?;
            return Ok(());
        }
        if message.field("transfer-encoding").is_none() {
            return Ok(());
        }
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(());
            }
            let chunk = self.bytes(size)?;
            message.body.extend(chunk);
            self.line()?;
        }
    }

    /// Reads a whole message.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        self.body(&mut message)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a message whose body has a length.
    pub fn send(&mut self, start: &str, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{start}\r\n");
        for (name, value) in fields {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}
