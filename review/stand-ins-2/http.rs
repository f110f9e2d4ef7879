//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as it was received.
pub struct Request {
    /// Path with its query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut matching = headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case(name));
    matching.next().map(|(_, value)| value.as_str())
}

/// Reads up to the end of a head; the bytes behind it stay in `buffer`. `None` if the connection ends before the first byte.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at]).into_owned();
            buffer.drain(..at + 4);
            return Ok(Some(head));
        }
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => buffer.extend_from_slice(&chunk[..read]),
        }
    }
}

fn parse_headers(head: &str) -> Vec<(String, String)> {
    let fields = head
        .split("\r\n")
        .skip(1)
        .filter_map(|line| line.split_once(':'));
    fields
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

fn read_exact(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    let mut chunk = [0; 8192];
    while buffer.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => buffer.extend_from_slice(&chunk[..read]),
        }
    }
    Ok(buffer.drain(..length).collect())
}

fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(at) = buffer.windows(2).position(|window| window == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..at]).into_owned();
            buffer.drain(..at + 2);
            return Ok(line);
        }
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => buffer.extend_from_slice(&chunk[..read]),
        }
    }
}

fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &[(String, String)],
    until_end: bool,
) -> io::Result<Vec<u8>> {
    if let Some(length) = find(headers, "content-length") {
        let length = length
            .parse()
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        return read_exact(stream, buffer, length);
    }
    if find(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let line = read_line(stream, buffer)?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(read_exact(stream, buffer, size)?);
            read_line(stream, buffer)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let mut body = std::mem::take(buffer);
    if until_end {
        stream.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads a request; `None` if the connection ends before it.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some(head) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let headers = parse_headers(&head);
    let mut words = head.split("\r\n").next().unwrap_or("").split(' ');
    let target = words.nth(1).unwrap_or("").to_owned();
    let has_body =
        find(&headers, "content-length").is_some() || find(&headers, "transfer-encoding").is_some();
    let body = if has_body {
        read_body(stream, buffer, &headers, false)?
    } else {
        Vec::new()
    };
    Ok(Some(Request {
        target,
        headers,
        body,
    }))
}

/// An answer that was received whole.
pub struct Answer {
    pub status: u16,
}

/// Reads an answer.
pub fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Answer> {
    let head = read_head(stream, buffer)?;
    let head = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::Error::from(io::ErrorKind::InvalidData))?;
    let headers = parse_headers(&head);
    read_body(stream, buffer, &headers, true)?;
    Ok(Answer { status })
}

/// Sends a request on a new connection and reads the answer, each step within `limit`.
pub fn send(address: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(bytes)?;
    read_answer(&mut stream, &mut Vec::new())
}

/// Formats a request with a body of known length.
pub fn format_request(
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        text += &format!("content-length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Formats an answer with a body of known length.
pub fn format_answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection in a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}
